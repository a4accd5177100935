/** The retry budget. */
package org.whinwharf.traffic.retry;
