package org.whinwharf.platform.fleet;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Reads HTTP messages from a socket and keeps what was received of a message that ends early. */
final class HttpReader {
    private static final int HEX = 16;
    private static final int SLOW_READ_BYTES = 20_000;
    private static final long SLOW_READ_MILLIS = 20;

    private final Socket socket;
    private final PushbackInputStream in;
    /** Pause after each piece that was read; 0 if none. */
    private final long pauseMillis;

    private long endNanos = Long.MAX_VALUE;

    private long readBytes;

    HttpReader(Socket socket) throws IOException {
        this(socket, 0);
    }

    /** Returns a reader that pauses while it reads. */
    static HttpReader slow(Socket socket) throws IOException {
        return new HttpReader(socket, SLOW_READ_MILLIS);
    }

    private HttpReader(Socket socket, long pauseMillis) throws IOException {
        this.pauseMillis = pauseMillis;
        this.socket = socket;
        in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()), 1);
    }

    /** Sets the time at which reads fail with a {@link SocketTimeoutException}. */
    void setTimeoutMillis(long millis) {
        endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Reads a head up to its empty line; returns an empty text if the connection has ended before it. */
    String head() throws IOException {
        StringBuilder head = new StringBuilder();
        String line = line();
        while (line != null && !line.isEmpty()) {
            head.append(line).append('\n');
            line = line();
        }
        if (line == null && head.length() > 0) {
            throw new EOFException("ended in a head: " + head);
        }
        return head.toString();
    }

    /** Returns the value of a header; an empty text if there is none. */
    static String header(String head, String name) {
        String start = name.toLowerCase(Locale.ROOT) + ":";
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
                .map(line -> line.substring(start.length()).trim())
                .findFirst()
                .orElse("");
    }

    /**
     * Reads a body.
     *
     * @param untilEnd whether a body without a length lasts until the end of the connection
     * @param body receives what there is of the body, also if it ends early
     * @throws IOException if it ends early
     */
    void body(String head, boolean untilEnd, ByteArrayOutputStream body) throws IOException {
        String length = header(head, "Content-Length");
        if ("chunked".equalsIgnoreCase(header(head, "Transfer-Encoding"))) {
            chunks(body);
        } else if (!length.isEmpty()) {
            copy(Long.parseLong(length), body);
        } else if (untilEnd) {
            int read = read();
            while (read >= 0) {
                body.write(read);
                read = read();
            }
        }
    }

    private void chunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line();
            if (size == null) {
                throw new EOFException("ended before a chunk");
            }
            int bytes;
            try {
                bytes = Integer.parseInt(size.split(";")[0].trim(), HEX);
            } catch (NumberFormatException e) {
                throw new IOException("no chunk: " + size, e);
            }
            copy(bytes, body);
            String end = line();
            if (end == null || !end.isEmpty()) {
                throw new EOFException("ended after a chunk: " + end);
            }
            if (bytes == 0) {
                return;
            }
        }
    }

    private void copy(long bytes, ByteArrayOutputStream body) throws IOException {
        for (long i = 0; i < bytes; i++) {
            int read = read();
            if (read < 0) {
                throw new EOFException(bytes - i + " bytes missing");
            }
            body.write(read);
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int read = read();
        while (read >= 0 && read != '\n') {
            line.write(read);
            read = read();
        }
        if (read < 0) {
            if (line.size() > 0) {
                throw new EOFException("ended in a line: " + line.toString(StandardCharsets.UTF_8));
            }
            return null;
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    private int read() throws IOException {
        if (pauseMillis > 0 && ++readBytes % SLOW_READ_BYTES == 0) {
            pause();
        }
        if (in.available() == 0) {
            int leftMillis = 0;
            if (endNanos != Long.MAX_VALUE) {
                leftMillis = (int) TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
                if (leftMillis <= 0) {
                    throw new SocketTimeoutException("time is up");
                }
            }
            socket.setSoTimeout(leftMillis);
        }
        return in.read();
    }

    private void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Returns the bytes that have arrived and were not read. */
    int available() throws IOException {
        return in.available();
    }

    /** Waits for a time; returns false at once if the other side closes the connection. */
    boolean staysOpen(long millis) throws IOException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            while (true) {
                int leftMillis = (int) TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
                if (leftMillis <= 0) {
                    return true;
                }
                if (in.available() > 0) {
                    TimeUnit.MILLISECONDS.sleep(leftMillis);
                    return true;
                }
                socket.setSoTimeout(leftMillis);
                int read = in.read();
                if (read < 0) {
                    return false;
                }
                in.unread(read);
            }
        } catch (SocketTimeoutException e) {
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
