/** Structured log lines in JSON, from a fixed set of events with a fixed set of fields. */
package org.whinwharf.runtime.log;
