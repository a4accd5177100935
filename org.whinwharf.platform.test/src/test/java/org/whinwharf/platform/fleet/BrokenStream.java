package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a caller has received of one stream, over all its attempts so far.
 *
 * @param path path of its requests
 * @param firstAttemptId id of the attempt that brought the first event; empty before that event
 * @param versions version of each event, in order
 * @param status status of the latest response; 0 if there was none
 * @param complete whether the latest response had its end
 */
public record BrokenStream(String path, String firstAttemptId, List<String> versions, int status, boolean complete) {
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d+) ");
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int READ_TIMEOUT_MILLIS = 15_000;

    /** Returns a stream of which nothing was received yet. */
    public static BrokenStream nothing(String path) {
        return new BrokenStream(path, "", List.of(), 0, false);
    }

    /** Returns a stream that another process began, of which three events of a version were received. */
    public static BrokenStream begun(String path, String firstAttemptId, String version) {
        return new BrokenStream(
                path, firstAttemptId, Collections.nCopies(StreamWorker.EVENTS_BEFORE_BREAK, version), 0, false);
    }

    /** Tells whether workers of more than one version wrote the events. */
    public boolean mixed() {
        return new HashSet<>(versions).size() > 1;
    }

    /** Tells whether the caller has the whole stream, from workers of one version. */
    public boolean wentOn() {
        return complete && versions.size() == StreamWorker.EVENTS && !mixed();
    }

    /**
     * Sends an attempt that begins the stream, or goes on after what was received of it.
     *
     * @param address address of the front for callers
     * @param named whether the attempt names the one that brought the first event
     */
    public BrokenStream call(InetSocketAddress address, String attemptId, boolean named) {
        String resumption = versions.isEmpty()
                ? ""
                : "Last-Event-Id: " + versions.size() + "\r\n" + (named ? "Resumes: " + firstAttemptId + "\r\n" : "");
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attemptId
                                    + "\r\nX-Deadline-Ms: 9000\r\n" + resumption
                                    + "Content-Length: 0\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return plus(attemptId, readAll(socket.getInputStream()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readAll(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }

    private BrokenStream plus(String attemptId, String response) {
        List<String> all = new ArrayList<>(versions);
        Matcher event = EVENT.matcher(response);
        while (event.find()) {
            if (Integer.parseInt(event.group(1)) != all.size() + 1) {
                throw new IllegalStateException("event out of order: " + response);
            }
            all.add(event.group(2));
        }
        Matcher head = STATUS.matcher(response);
        return new BrokenStream(
                path,
                firstAttemptId.isEmpty() && !all.isEmpty() ? attemptId : firstAttemptId,
                all,
                head.lookingAt() ? Integer.parseInt(head.group(1)) : 0,
                response.endsWith(LAST_CHUNK));
    }
}
