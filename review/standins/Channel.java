import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A requester's channel to one front. */
final class Channel implements AutoCloseable {
    /** What came back: status 0 if nothing did, and whether the answer was whole. */
    record Answer(int status, HttpInput.Head head, String body, boolean whole, String end, long tookMillis) {}

    private final Socket socket = new Socket();
    private final HttpInput input;

    Channel(String ip, int port, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
        input = new HttpInput(socket.getInputStream());
    }

    /** Sends a request and reads its answer, which a HEAD request ends after the head. */
    Answer call(String request, int waitMillis) {
        return call(request, waitMillis, Integer.MAX_VALUE);
    }

    /** Does the same at a limited pace. */
    Answer call(String request, int waitMillis, int bytesPerSecond) {
        long sentAtMillis = Harness.nowMillis();
        HttpInput.Head head = null;
        try {
            socket.setSoTimeout(waitMillis);
            byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
            int part = Math.max(1, bytesPerSecond / 100);
            for (int from = 0; from < bytes.length; from += part) {
                if (from > 0) {
                    Thread.sleep(10);
                }
                socket.getOutputStream().write(bytes, from, Math.min(part, bytes.length - from));
            }
            socket.getOutputStream().flush();
            head = input.readHead();
            if (head == null) {
                return new Answer(0, null, "", false, "closed", Harness.nowMillis() - sentAtMillis);
            }
            boolean noBody = request.startsWith("HEAD ");
            String body = noBody ? "" : new String(input.readBody(head), StandardCharsets.ISO_8859_1);
            return new Answer(statusOf(head), head, body, true, "whole", Harness.nowMillis() - sentAtMillis);
        } catch (SocketTimeoutException e) {
            return new Answer(
                    statusOf(head), head, "", false, "unanswered", Harness.nowMillis() - sentAtMillis);
        } catch (Exception e) {
            return new Answer(
                    statusOf(head), head, "", false, String.valueOf(e), Harness.nowMillis() - sentAtMillis);
        }
    }

    /** Returns the status; 0 if there is no head, or none that begins as an answer does. */
    private static int statusOf(HttpInput.Head head) {
        return head == null || !head.start().startsWith("HTTP/1.1 ") ? 0 : head.status();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
