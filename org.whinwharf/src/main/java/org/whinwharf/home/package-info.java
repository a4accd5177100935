/**
 * State machine of a home, the entry process that alone may dispatch a request.
 *
 * <p>{@link org.whinwharf.home.Home} maps an event and the current time to actions. It holds no clock, socket or
 * thread, so a test can reproduce any failure as a list of events.
 */
package org.whinwharf.home;
