package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;

/** Connection to one process after the hello handshake. Thread-safe. */
public interface PeerLink {
    /**
     * Returns the hello that the remote process sent.
     *
     * @return hello of the remote process
     */
    Hello peer();

    /**
     * Queues a frame.
     *
     * @param frame the frame
     * @return false if the link is down, its queue is full or the frame exceeds the size limit; the frame is then not
     *     sent
     */
    boolean send(Frame frame);

    /**
     * Closes the link.
     *
     * @param reason reason for the log
     */
    void close(String reason);
}
