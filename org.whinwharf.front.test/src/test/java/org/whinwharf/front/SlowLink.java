package org.whinwharf.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A relay whose answers pass one link of limited bandwidth, which all its connections share. */
final class SlowLink implements AutoCloseable {
    private static final int CHUNK_BYTES = 4_096;
    /** Receive buffer of the far side, so that no more than this is on its way beyond the link. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1_024;

    private final ServerSocket server;
    private final String toIp;
    private final int toPort;
    private final double nanosPerByte;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private long linkFreeAtNanos = System.nanoTime();

    SlowLink(String ip, String toIp, int toPort, long bytesPerSecond) throws IOException {
        this.toIp = toIp;
        this.toPort = toPort;
        nanosPerByte = TimeUnit.SECONDS.toNanos(1) / (double) bytesPerSecond;
        server = new ServerSocket(0, 50, InetAddress.getByName(ip));
        start("slow link", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket near = server.accept();
            Socket far = new Socket();
            far.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            far.connect(new InetSocketAddress(toIp, toPort));
            sockets.add(near);
            sockets.add(far);
            start("questions", () -> pump(near, far, false));
            start("answers", () -> pump(far, near, true));
        }
    }

    private void pump(Socket from, Socket to, boolean slow) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] piece = new byte[CHUNK_BYTES];
            int count = in.read(piece);
            while (count >= 0) {
                if (slow) {
                    throttle(count);
                }
                out.write(piece, 0, count);
                count = in.read(piece);
            }
        }
    }

    private void throttle(int bytes) {
        long untilNanos;
        synchronized (this) {
            linkFreeAtNanos = Math.max(linkFreeAtNanos, System.nanoTime()) + (long) (bytes * nanosPerByte);
            untilNanos = linkFreeAtNanos;
        }
        long leftNanos = untilNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = untilNanos - System.nanoTime();
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void start(String name, IoTask work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // One end closed its connection, or the test is over.
                        return;
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
