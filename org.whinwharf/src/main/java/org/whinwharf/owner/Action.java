package org.whinwharf.owner;

import org.whinwharf.wire.message.Frame;

/** What a scheduler is to do. */
public sealed interface Action {
    /**
     * Send a frame to an entry process; dropped when its link is down.
     *
     * @param home the process
     * @param frame the frame
     */
    record ToEntry(HomeId home, Frame frame) implements Action {}

    /**
     * Send a frame to the scheduler of a host; dropped when there is no link.
     *
     * @param host name of the host
     * @param frame the frame
     */
    record ToPeer(String host, Frame frame) implements Action {}

    /**
     * Count something.
     *
     * @param measure what is counted
     * @param label refusal reason or tier rank
     */
    record Counted(Measure measure, String label) implements Action {}
}
