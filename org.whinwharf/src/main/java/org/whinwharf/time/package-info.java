/** Monotonic time for scheduling decisions. */
package org.whinwharf.time;
