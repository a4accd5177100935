package org.whinwharf.owner;

import org.whinwharf.wire.message.Frame;

/** Action that {@link SchedulerCore} decides on and its caller performs. */
public sealed interface SchedulerAction {
    /**
     * Sends a frame to an entry process; the frame is dropped when no link is up.
     *
     * @param home recipient
     * @param frame frame to send
     */
    record SendToEntry(ProcessId home, Frame frame) implements SchedulerAction {}

    /**
     * Sends a frame to the scheduler of a host; the frame is dropped when no link is up.
     *
     * @param host name of the host
     * @param frame frame to send
     */
    record SendToPeer(String host, Frame frame) implements SchedulerAction {}

    /**
     * Increments a counter.
     *
     * @param counter the counter
     * @param label refusal reason, finish kind or tier rank
     */
    record IncrementCounter(SchedulerCounter counter, String label) implements SchedulerAction {}
}
