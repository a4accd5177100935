package org.whinwharf.front;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Connection of a caller that is used for one request after the other, until the front closes it. */
final class KeptConnection implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: (\\d+)");
    private static final int HEXADECIMAL = 16;

    /** How a response ended. */
    enum Ending {
        /** By its framing. */
        COMPLETE,
        /** By the end of the connection. */
        CLOSED,
        /** Not within the caller's timeout. */
        TIMED_OUT
    }

    /**
     * A response.
     *
     * @param status status; 0 if no head was received
     * @param body body without its framing, as far as it was received
     * @param endedAtMillis time of its end
     */
    record Response(int status, String body, Ending ending, long endedAtMillis) {}

    private final Socket socket;
    private final InputStream in;
    private boolean open = true;

    KeptConnection(Socket socket, int readTimeoutMillis) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(readTimeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Tells whether another request may be sent. */
    boolean open() {
        return open;
    }

    /** Sends a request and reads its response. */
    Response exchange(String request) {
        int status = 0;
        StringBuilder body = new StringBuilder();
        Ending ending = Ending.COMPLETE;
        try {
            FakeTarget.write(socket, request);
            String head = readHead();
            status = Integer.parseInt(head.split(" ")[1]);
            readBody(head, body);
            open = !head.contains("connection: close");
        } catch (SocketTimeoutException e) {
            ending = Ending.TIMED_OUT;
        } catch (IOException e) {
            ending = Ending.CLOSED;
        }
        open = open && ending == Ending.COMPLETE;
        return new Response(status, body.toString(), ending, System.currentTimeMillis());
    }

    /** Waits for the end of the connection; returns false if other bytes precede it. */
    boolean endsNow() throws IOException {
        return in.read() < 0;
    }

    private String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        String line = readLine();
        while (!line.isEmpty()) {
            head.append(line).append('\n');
            line = readLine();
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private void readBody(String head, StringBuilder body) throws IOException {
        Matcher length = CONTENT_LENGTH.matcher(head);
        if (length.find()) {
            read(Integer.parseInt(length.group(1)), body);
            return;
        }
        int chunkLength = Integer.parseInt(readLine(), HEXADECIMAL);
        while (chunkLength > 0) {
            read(chunkLength, body);
            readLine();
            chunkLength = Integer.parseInt(readLine(), HEXADECIMAL);
        }
        readLine();
    }

    private void read(int length, StringBuilder body) throws IOException {
        for (int i = 0; i < length; i++) {
            body.append((char) readByte());
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next = readByte();
        while (next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = readByte();
        }
        return line.toString();
    }

    private int readByte() throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException();
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
