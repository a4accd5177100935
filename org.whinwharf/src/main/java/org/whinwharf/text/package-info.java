/** Human-readable text from resource bundles. */
package org.whinwharf.text;
