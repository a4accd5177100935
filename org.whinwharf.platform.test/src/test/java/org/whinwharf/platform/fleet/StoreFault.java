package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** How the store misbehaves towards the fronts that a fault applies to, for as long as it lasts. */
public enum StoreFault {
    /** Connections are reset. */
    DOWN {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            reset(socket);
            return false;
        }
    },
    /** Requests over connections that were open when the fault began are never answered; new ones work. */
    SILENT {
        @Override
        boolean answer(Socket socket, int status, byte[] body) {
            return true;
        }

        @Override
        boolean appliesTo(long openedAtNanos, long beganAtNanos) {
            return openedAtNanos < beganAtNanos;
        }
    },
    /** Calls are never answered, over whichever connection. */
    UNANSWERED {
        @Override
        boolean answer(Socket socket, int status, byte[] body) {
            return true;
        }
    },
    /** Calls are refused as unavailable. */
    BUSY {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            return respond(socket, 503, EMPTY);
        }
    },
    /** Half of the calls are refused as too many. */
    TOO_MANY {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            return ThreadLocalRandom.current().nextBoolean()
                    ? respond(socket, 429, EMPTY)
                    : respond(socket, status, body);
        }
    },
    /** Answers are delayed. */
    LATE {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            pause(ThreadLocalRandom.current().nextInt(MAX_DELAY_MILLIS));
            return respond(socket, status, body);
        }
    },
    /** Answers arrive in chunks with pauses between them. */
    IN_PIECES {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(("HTTP/1.1 " + status + " X\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            int chunkBytes = Math.max(1, body.length / PIECES);
            for (int from = 0; from < body.length; from += chunkBytes) {
                int bytes = Math.min(chunkBytes, body.length - from);
                pause(PIECE_DELAY_MILLIS);
                out.write((Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(body, from, bytes);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return true;
        }
    },
    /** Connections are closed after each answer. */
    CLOSING {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            respond(socket, status, body);
            return false;
        }
    },
    /** Answers are cut in the middle. */
    CUT {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            socket.getOutputStream()
                    .write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body, 0, body.length / 2);
            return false;
        }
    },
    /** Each answer is sent twice. */
    TWICE {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            respond(socket, status, body);
            return respond(socket, status, body);
        }
    },
    /** Each answer is followed at once by the first half of itself. */
    PART_AGAIN {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            byte[] whole = whole(status, body);
            byte[] sent = Arrays.copyOf(whole, whole.length + whole.length / 2);
            System.arraycopy(whole, 0, sent, whole.length, whole.length / 2);
            socket.getOutputStream().write(sent);
            return true;
        }
    },
    /** Each answer is followed after a pause by the first half of itself. */
    PART_LATER {
        @Override
        boolean answer(Socket socket, int status, byte[] body) throws IOException {
            byte[] whole = whole(status, body);
            socket.getOutputStream().write(whole);
            pause(PIECE_DELAY_MILLIS);
            socket.getOutputStream().write(whole, 0, whole.length / 2);
            return true;
        }
    };

    private static final byte[] EMPTY = "{}".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_DELAY_MILLIS = 400;
    private static final int PIECES = 5;
    private static final long PIECE_DELAY_MILLIS = 20;

    /**
     * Answers a call as the fault has it.
     *
     * @return false if the connection is to be closed
     */
    abstract boolean answer(Socket socket, int status, byte[] body) throws IOException;

    /** Tells whether the fault applies to a connection. */
    boolean appliesTo(long openedAtNanos, long beganAtNanos) {
        return true;
    }

    /** Writes a complete answer; returns true, as the connection stays open. */
    static boolean respond(Socket socket, int status, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(whole(status, body));
        out.flush();
        return true;
    }

    private static byte[] whole(int status, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
