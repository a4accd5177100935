package org.whinwharf.platform.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.whinwharf.lifecycle.Service;

/** A worker that answers after a short time and records which requests reached it when. */
final class RecordingTarget implements Service, AutoCloseable {
    static final String HEALTH_PATH = "/healthz";

    private static final int MAX_RUN_MILLIS = 120;
    private static final int SLOTS = 4;

    /**
     * A request that reached the worker and was meant for it.
     *
     * @param attempt id of the attempt
     * @param atNanos time of its arrival by {@link System#nanoTime()}
     */
    record Arrival(String attempt, long atNanos) {}

    private final String id;
    private final String service;
    private final String zone;
    private final InetSocketAddress address;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final long startedUnixMillis = System.currentTimeMillis();
    private ServerSocket server;

    RecordingTarget(String id, String service, String zone, String ip, int port) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        address = new InetSocketAddress(ip, port);
    }

    @Override
    public void start() {
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address);
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + address, e);
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
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        stop();
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    String zone() {
        return zone;
    }

    /** Returns the key of the worker's entry in the store. */
    String key() {
        return "servers/" + id;
    }

    /** Returns the worker's entry in a state. */
    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\""
                + address.getAddress().getHostAddress() + ":" + address.getPort() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"1\",\"slots\":" + SLOTS + ",\"state\":\"" + state
                + "\",\"cold-left-ms\":0,\"seq\":1,\"born\":" + startedUnixMillis + "}";
    }

    /** Returns the requests so far that were meant for this worker. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Records a request that was meant for this worker. */
    void arrived(Arrival arrival) {
        arrivals.add(arrival);
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
            String line = in.readLine();
            while (line != null) {
                Map<String, String> headers = readHeaders(in);
                answer(socket, line.split(" ")[1], headers);
                line = in.readLine();
            }
        } catch (IOException e) {
            // The front closed the connection.
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

    private void answer(Socket socket, String path, Map<String, String> headers) throws IOException {
        String attempt = headers.get("x-attempt-id");
        if (path.equals(HEALTH_PATH)) {
            write(socket, "200 OK", "X-Instance-Id: " + id + "\r\n", "");
        } else if (attempt == null) {
            write(socket, "404 Not Found", "X-Not-Executed: 1\r\n", "");
        } else if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
            write(socket, "421 Misdirected", "X-Not-Executed: 1\r\nX-Attempt-Id: " + attempt + "\r\n", "");
        } else {
            arrived(new Arrival(attempt, System.nanoTime()));
            pause();
            write(
                    socket,
                    "200 OK",
                    "X-Server-Seal: " + id + "\r\nX-Attempt-Id: " + attempt + "\r\n",
                    attempt + " " + service);
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_RUN_MILLIS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void write(Socket socket, String status, String headers, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "recording target");
        thread.setDaemon(true);
        thread.start();
    }
}
