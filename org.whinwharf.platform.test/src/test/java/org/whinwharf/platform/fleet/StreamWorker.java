package org.whinwharf.platform.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.lifecycle.Service;

/**
 * A worker whose streams name in each event the version that wrote it. New streams are broken off after their third
 * event; resumed ones are completed.
 */
public final class StreamWorker implements Service, AutoCloseable {
    /** Number of events of a complete stream. */
    public static final int EVENTS = 6;
    /** Number of events of a new stream before the worker breaks it off. */
    public static final int EVENTS_BEFORE_BREAK = 3;

    private static final int BACKLOG = 128;
    private static final int UNUSED_PORT = 9;

    private final String id;
    private final String service;
    private final String version;
    private final String ip;
    private final long bornUnixMillis;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket server;

    /**
     * Describes a worker that is not started.
     *
     * @param ip loopback address
     * @param bornUnixMillis start that the worker states
     */
    public StreamWorker(String id, String service, String version, String ip, long bornUnixMillis) {
        this.id = id;
        this.service = service;
        this.version = version;
        this.ip = ip;
        this.bornUnixMillis = bornUnixMillis;
    }

    @Override
    public void start() {
        try {
            server = new ServerSocket();
            server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), BACKLOG);
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + ip, e);
        }
        startThread(this::accept);
    }

    @Override
    public void stop() {
        try {
            server.close();
            for (Socket socket : connections) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot close " + id, e);
        }
    }

    @Override
    public void close() {
        stop();
    }

    /** Returns the key of the worker's entry in the store. */
    public String key() {
        return "servers/" + id;
    }

    /** Returns the entry in the store, in the state given; a worker that is not started cannot be reached. */
    public String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":"
                + (server == null ? UNUSED_PORT : server.getLocalPort())
                + "\",\"zone\":\"za\",\"version\":\"" + version
                + "\",\"slots\":64,\"state\":\"" + state + "\",\"cold-left-ms\":0,\"seq\":1,\"born\":" + bornUnixMillis
                + "}";
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // Closed, by which the loop ends.
                continue;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            boolean open = true;
            String requestLine = in.readLine();
            while (open && requestLine != null) {
                Map<String, String> headers = readHeaders(in);
                open = answer(requestLine, headers, socket.getOutputStream());
                requestLine = open ? in.readLine() : null;
            }
        } catch (IOException e) {
            // The connection was closed by the front or by the end of the worker.
            return;
        } finally {
            connections.remove(socket);
        }
    }

    private static Map<String, String> readHeaders(BufferedReader in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = in.readLine();
        }
        return headers;
    }

    private boolean answer(String requestLine, Map<String, String> headers, OutputStream out) throws IOException {
        if (requestLine.startsWith("GET ")) {
            write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        String attempt = "X-Attempt-Id: " + headers.get("x-attempt-id") + "\r\n";
        if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected\r\n" + attempt + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        int after = Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        int last = after == 0 ? EVENTS_BEFORE_BREAK : EVENTS;
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + attempt + "X-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = after + 1; event <= last; event++) {
            String text = "id: " + event + "\ndata: " + version + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (last < EVENTS) {
            return false;
        }
        write(out, "0\r\n\r\n");
        return true;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private void startThread(Runnable action) {
        Thread thread = new Thread(action, id);
        thread.setDaemon(true);
        thread.start();
    }
}
