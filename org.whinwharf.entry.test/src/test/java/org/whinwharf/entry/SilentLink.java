package org.whinwharf.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.whinwharf.lifecycle.Service;

/** Link to a target that can fall silent, in one of several ways. */
final class SilentLink implements Service {
    private static final int BUFFER_BYTES = 8_192;
    /** Connections that the system accepts for a listener that does not; the rest of them find no reply. */
    private static final int BACKLOG = 1;

    private static final int DEFAULT_BACKLOG = 50;

    private static final int FILLERS = 8;

    private final InetSocketAddress near;
    private final InetSocketAddress far;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Object gate = new Object();
    private volatile ServerSocket listener;
    private volatile boolean swallowing;
    /** Guarded by the gate. */
    private boolean paused;

    SilentLink(InetSocketAddress near, InetSocketAddress far) {
        this.near = near;
        this.far = far;
    }

    @Override
    public void start() {
        EntryFixture.until("the port is free", () -> listen(DEFAULT_BACKLOG));
        ServerSocket opened = listener;
        run(() -> accept(opened));
    }

    @Override
    public void stop() {
        goOn();
        close(listener);
        connections.forEach(Connection::close);
    }

    /** Silences all connections that are open now for good; new ones work. */
    void fallSilent() {
        connections.forEach(each -> each.silent = true);
    }

    /** Silences all connections that are open now, or are opened until the link goes on, for good. */
    void swallow() {
        swallowing = true;
        fallSilent();
    }

    /** Holds everything back until the link goes on, as the host of a paused process does: it accepts connections. */
    void pause() {
        synchronized (gate) {
            paused = true;
        }
    }

    /** Holds everything back until the link goes on, and replies to no attempt to connect, as a paused host does. */
    void pauseHost() {
        pause();
        close(listener);
        // The system closes a listener only once the thread that accepts has noticed.
        EntryFixture.until("the listener is closed", () -> listen(BACKLOG));
        try {
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(near);
                fillers.add(filler);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Passes on what was held back, and whatever comes from now on. */
    void goOn() {
        swallowing = false;
        if (!fillers.isEmpty()) {
            fillers.forEach(SilentLink::close);
            fillers.clear();
            ServerSocket opened = listener;
            run(() -> accept(opened));
        }
        synchronized (gate) {
            paused = false;
            gate.notifyAll();
        }
    }

    private boolean listen(int backlog) {
        try {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(near, backlog);
            listener = opened;
            return true;
        } catch (BindException taken) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept(ServerSocket opened) throws IOException {
        while (!opened.isClosed()) {
            Socket caller = opened.accept();
            InetAddress local = near.getAddress();
            Connection connection = new Connection(caller, new Socket(far.getAddress(), far.getPort(), local, 0));
            connection.silent = swallowing;
            connections.add(connection);
            run(() -> connection.pass(connection.caller, connection.target));
            run(() -> connection.pass(connection.target, connection.caller));
        }
    }

    private void awaitGoOn() {
        synchronized (gate) {
            while (paused) {
                try {
                    gate.wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private static void run(Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException ended) {
                        // One side closed its end, or the link was stopped.
                    }
                },
                "silent-link");
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private final class Connection {
        private final Socket caller;
        private final Socket target;
        private volatile boolean silent;

        Connection(Socket caller, Socket target) {
            this.caller = caller;
            this.target = target;
        }

        void pass(Socket from, Socket to) throws IOException {
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitGoOn();
                if (!silent) {
                    out.write(buffer, 0, count);
                }
            }
            awaitGoOn();
            if (!silent) {
                SilentLink.close(to);
            }
        }

        void close() {
            SilentLink.close(caller);
            SilentLink.close(target);
        }
    }
}
