/** Log lines in JSON: a closed list of events with a closed list of fields. */
package org.whinwharf.runtime.log;
