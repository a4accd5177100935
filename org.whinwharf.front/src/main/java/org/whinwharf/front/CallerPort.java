package org.whinwharf.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The port of callers, open from the first moment of a process.
 *
 * <p>A start takes half a second. After a loss of all processes a caller that finds every port closed fails at once; in
 * the queue of an open port its connection waits until the process serves, which is mostly well within its objective.
 */
public final class CallerPort {
    /** Connections that wait to be accepted; a full queue costs a caller seconds. */
    private static final int MAX_BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private CallerPort(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens the port; nothing is accepted yet.
     *
     * @param address IP number and port, joined by a colon
     * @return the open port
     * @throws IOException when it cannot be opened
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

    /** Closes the port; connections that wait are reset, and their callers go elsewhere. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            FrontLog.taskFailed("close the port of callers", e);
        }
    }
}
