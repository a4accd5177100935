package org.whinwharf.owner;

import org.whinwharf.wire.message.Frame;

/** What a scheduler is to do. */
public sealed interface SchedulerAction {
    /**
     * Send a frame to an entry process; dropped when its link is down.
     *
     * @param home the process
     * @param frame the frame
     */
    record SendToEntry(ProcessId home, Frame frame) implements SchedulerAction {}

    /**
     * Send a frame to the scheduler of a host; dropped when there is no link.
     *
     * @param host name of the host
     * @param frame the frame
     */
    record SendToPeer(String host, Frame frame) implements SchedulerAction {}

    /**
     * Count something.
     *
     * @param counter what is counted
     * @param label refusal reason or tier rank
     */
    record IncrementCounter(SchedulerCounter counter, String label) implements SchedulerAction {}
}
