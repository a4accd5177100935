/** Parts of the schema reader that nothing outside of it uses. */
package org.whinwharf.schema.internal;
