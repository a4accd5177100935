package org.whinwharf.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP path from one front to one target that can be cut and healed. */
final class CutLink implements AutoCloseable {
    private static final int CHUNK_BYTES = 4_096;
    /** Small enough to be filled at once, large enough for the connections that a front opens at a time. */
    private static final int BACKLOG = 16;

    /** More than the queue holds. */
    private static final int FILLERS = 2 * BACKLOG;

    /** Time for the thread that accepts connections to take its last one, even on a busy machine. */
    private static final int ACCEPT_TIMEOUT_MILLIS = 5_000;

    private static final int PROBE_TIMEOUT_MILLIS = 100;

    /** How a path fails. */
    enum Cut {
        /** Nothing passes: open connections hang, and new ones are never established. */
        SILENT {
            @Override
            void apply(CutLink link) throws IOException {
                link.fillBacklog();
            }
        },
        /** New connections are refused; open ones hang. */
        REFUSED {
            @Override
            void apply(CutLink link) throws IOException {
                link.refuse();
            }
        },
        /** New connections are refused; open ones live on. */
        NEW_REFUSED {
            @Override
            void apply(CutLink link) throws IOException {
                link.blocked = false;
                link.refuse();
            }
        },
        /** Open connections are reset, and new ones refused. */
        RESET {
            @Override
            void apply(CutLink link) throws IOException {
                link.refuse();
                link.resetOpen();
            }
        };

        abstract void apply(CutLink link) throws IOException;
    }

    private final String ip;
    private final int port;
    private final String toIp;
    private final int toPort;
    /** Connections from the front. */
    private final Set<Socket> clients = ConcurrentHashMap.newKeySet();
    /** Connections to the target. */
    private final Set<Socket> upstreams = ConcurrentHashMap.newKeySet();

    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Object gate = new Object();
    private volatile ServerSocket server;
    private volatile boolean blocked;
    /** Whether the thread that accepts connections waits for the path to be healed; guarded by the gate. */
    private boolean acceptorWaits;

    CutLink(String ip, String toIp, int toPort) throws IOException {
        this.ip = ip;
        this.toIp = toIp;
        this.toPort = toPort;
        listen(0);
        port = server.getLocalPort();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection has ended meanwhile.
            return;
        }
    }

    /** Resets all open connections, the front's side first, since the loss of the other one ends it in order. */
    void resetOpen() {
        clients.forEach(CutLink::reset);
        upstreams.forEach(CutLink::reset);
    }

    int port() {
        return port;
    }

    private void listen(int localPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(ip, localPort), BACKLOG);
        server = opened;
        start("link", () -> accept(opened));
    }

    /** Cuts the path, healing an earlier cut first; waits for a cut or heal of another thread. */
    synchronized void cut(Cut cut) throws IOException {
        heal();
        blocked = true;
        cut.apply(this);
    }

    synchronized void heal() throws IOException {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        fillers.clear();
        if (server.isClosed()) {
            listen(port);
        }
        synchronized (gate) {
            blocked = false;
            gate.notifyAll();
        }
    }

    /** Stops listening; returns once new connections are refused, which a close of the listener does not wait for. */
    private void refuse() throws IOException {
        server.close();
        boolean refused = false;
        while (!refused) {
            try (Socket probe = new Socket()) {
                probe.connect(new InetSocketAddress(ip, port), PROBE_TIMEOUT_MILLIS);
            } catch (ConnectException e) {
                refused = true;
            } catch (IOException e) {
                // The system still closes the listener.
                refused = false;
            }
        }
    }

    /**
     * Fills the queue of connections that wait to be accepted; the system then drops further opening packets. The
     * thread that accepts them may take one more, at any time later, so the queue is filled again after that.
     */
    private void fillBacklog() throws IOException {
        openFillers();
        awaitAcceptor();
        openFillers();
    }

    private void awaitAcceptor() throws IOException {
        long endNanos = System.nanoTime() + ACCEPT_TIMEOUT_MILLIS * 1_000_000L;
        synchronized (gate) {
            while (!acceptorWaits && System.nanoTime() < endNanos) {
                pauseAtGate(PROBE_TIMEOUT_MILLIS);
            }
        }
    }

    /** Opens connections, all at once, so that no front's connection is established meanwhile. */
    private void openFillers() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(new InetSocketAddress(ip, port));
            fillers.add(filler);
        }
    }

    private void accept(ServerSocket listening) throws IOException {
        while (!listening.isClosed()) {
            // A connection taken from the queue of a blocked path would leave room for another one.
            awaitUnblockedToAccept();
            Socket client = listening.accept();
            awaitUnblockedToAccept();
            Socket upstream = new Socket(toIp, toPort);
            clients.add(client);
            upstreams.add(upstream);
            start("link requests", () -> pump(client, upstream));
            start("link responses", () -> pump(upstream, client));
        }
    }

    private void pump(Socket from, Socket to) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            int count = in.read(chunk);
            while (count >= 0) {
                awaitUnblocked();
                out.write(chunk, 0, count);
                count = in.read(chunk);
            }
            awaitUnblocked();
        }
    }

    private void awaitUnblocked() throws IOException {
        synchronized (gate) {
            while (blocked) {
                pauseAtGate(0);
            }
        }
    }

    private void awaitUnblockedToAccept() throws IOException {
        synchronized (gate) {
            acceptorWaits = true;
            gate.notifyAll();
            awaitUnblocked();
            acceptorWaits = false;
        }
    }

    /** Waits until the gate changes, or for the given time if it is not 0. */
    private void pauseAtGate(long millis) throws IOException {
        try {
            gate.wait(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void start(String name, IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // One side closed its connection, or the link was cut or closed.
                        return;
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        heal();
        server.close();
        resetOpen();
    }
}
