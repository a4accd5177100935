package org.whinwharf.front;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Socket of a direct connection to a target, which tells a reset that follows the end of input.
 *
 * <p>The system of a process that closes a socket with unread bytes resets the connection. If the process has ended its
 * side before, the end of input comes first; reads go on to report this end, and only a write would fail.
 */
final class TargetSocketChannel extends NioSocketChannel {
    /** Maximum time between the two steps in which a process ends its side and closes the socket. */
    private static final long RESET_DELAY_MILLIS = 10;

    /**
     * Finds out whether the target resets the connection behind the end of its input.
     *
     * @param consumer receives the result on the event loop
     */
    void checkReset(Consumer<Boolean> consumer) {
        eventLoop().schedule(() -> consumer.accept(isReset()), RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Tells whether the connection was reset or is closed. */
    private boolean isReset() {
        if (!isOpen()) {
            return true;
        }
        try (Selector selector = Selector.open()) {
            // A connected socket is never ready to connect: the key is selected only if the connection has failed.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            pipeline().fireExceptionCaught(e);
            return true;
        }
    }
}
