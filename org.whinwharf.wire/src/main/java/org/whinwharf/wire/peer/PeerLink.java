package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;

/** Connection to one process, after both sides have said hello. Safe for use by several threads. */
public interface PeerLink {
    /**
     * Returns what the other side said of itself.
     *
     * @return the other side's hello
     */
    Hello peer();

    /**
     * Queues a frame.
     *
     * @param frame the frame
     * @return false when the link is down or its queue is full; the frame is then not sent
     */
    boolean send(Frame frame);

    /**
     * Closes the link.
     *
     * @param reason why, for the log
     */
    void close(String reason);
}
