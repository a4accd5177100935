/** The budget of repeated dispatches. */
package org.whinwharf.traffic.retry;
