/** What the stand-ins recorded, in the JSON form that the history checker reads. */
package org.whinwharf.standin.record;
