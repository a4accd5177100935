/**
 * Decisions of the home of requests.
 *
 * <p>{@link org.whinwharf.home.Home} turns an event and the time into actions. It holds no clock, socket or thread, so
 * that each failure can be written down as a list of events.
 */
package org.whinwharf.home;
