/** Text that people read, from one resource bundle. */
package org.whinwharf.text;
