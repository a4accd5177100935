/**
 * Decisions of the scheduler: which waiting request is sent to which target, and when.
 *
 * <p>Pure: {@link org.whinwharf.owner.SchedulerCore} takes events with the time at which they are handled and returns
 * actions; it holds no clock, socket or thread.
 */
package org.whinwharf.owner;
