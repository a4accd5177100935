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

/** A TCP relay that sends all answers over one shared link of limited bandwidth; requests pass unthrottled. */
final class SlowLink implements AutoCloseable {
    private static final int CHUNK_BYTES = 4_096;
    /** Receive buffer towards the server; limits the bytes in flight that the simulated link does not count. */
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
            Socket client = server.accept();
            Socket upstream = new Socket();
            upstream.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            upstream.connect(new InetSocketAddress(toIp, toPort));
            sockets.add(client);
            sockets.add(upstream);
            start("requests", () -> pump(client, upstream, false));
            start("answers", () -> pump(upstream, client, true));
        }
    }

    private void pump(Socket from, Socket to, boolean throttled) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            int count = in.read(chunk);
            while (count >= 0) {
                if (throttled) {
                    throttle(count);
                }
                out.write(chunk, 0, count);
                count = in.read(chunk);
            }
        }
    }

    private void throttle(int bytes) {
        long untilNanos;
        synchronized (this) {
            linkFreeAtNanos = Math.max(linkFreeAtNanos, System.nanoTime()) + (long) (bytes * nanosPerByte);
            untilNanos = linkFreeAtNanos;
        }
        long remainingNanos = untilNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = untilNanos - System.nanoTime();
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
                        // One side closed its connection, or the test ended.
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
