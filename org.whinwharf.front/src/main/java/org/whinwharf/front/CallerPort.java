package org.whinwharf.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket for callers, opened at the very start of the process.
 *
 * <p>A start takes half a second. When all processes have failed, a caller that finds every port closed fails at once.
 * In the backlog of an open port its connection waits until the process serves, which is usually well within the
 * caller's latency objective.
 */
public final class CallerPort {
    /** Maximum number of connections waiting to be accepted; a full backlog delays a caller by seconds. */
    private static final int MAX_BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private CallerPort(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens the port without accepting connections yet.
     *
     * @param address IP address and port, separated by a colon
     * @return the open port
     * @throws IOException if the port cannot be opened
     */
    public static CallerPort open(String address) throws IOException {
        int colon = address.indexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(address.substring(0, colon), port), MAX_BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        return new CallerPort(channel);
    }

    ServerSocketChannel channel() {
        return channel;
    }

    /** Closes the port. Waiting connections are reset, and their callers try another front. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            FrontLog.taskFailed("close the caller port", e);
        }
    }
}
