package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies the bytes of all kinds of responses by a strict reading of a connection that carries many of them. */
class CallerResponseFramingTest {
    private static final long DEADLINE_MILLIS = 2_000;
    private static final int REQUESTS = 200;
    private static final String[] METHODS = {"GET", "HEAD", "POST", "HEAD"};
    private static final String[] PATHS = {"/safe/", "/unsafe/", "/stream/", "/resumable/", "/unknown/"};
    private static final int[] STATUSES = {200, 200, 204, 304, 404, 500, 503};
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) [^\\r\\n]*");
    private static final Pattern LENGTH = Pattern.compile("\ncontent-length: (\\d+)\r\n");
    private static final int HEXADECIMAL = 16;

    private FrontFixture fixture;

    @BeforeEach
    void startFront() throws IOException {
        fixture = new FrontFixture();
        fixture.target("t", CallerResponseFramingTest::answer);
        fixture.publishCatalog(1, DEADLINE_MILLIS);
    }

    @AfterEach
    void stopFront() throws IOException {
        fixture.close();
    }

    /** Answers with the status that ends the path, in one of several framings. */
    private static void answer(String request, Socket socket) throws IOException {
        String path = request.split(" ")[1];
        int status = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
        boolean bodyAllowed = !request.startsWith("HEAD") && status != 204 && status != 304;
        String body = "id: 1\ndata: a\n\n";
        boolean chunked = FakeTarget.attemptId(request).endsWith("1") && status != 204;
        String framing = status == 204 ? "" : chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 15\r\n";
        String content = chunked ? FakeTarget.chunk(body) + "0\r\n\r\n" : body;
        FakeTarget.write(
                socket,
                "HTTP/1.1 " + status + " X\r\nAttempt: " + FakeTarget.attemptId(request) + "\r\nSigned: yes\r\n"
                        + framing + "\r\n" + (bodyAllowed ? content : ""));
    }

    /** Guards against bytes behind a response that a caller reads as the beginning of the next one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachResponseEndsWhereACallerExpectsIt(long seed) throws IOException {
        Random random = new Random(seed);
        try (Socket caller = fixture.connect()) {
            InputStream in = caller.getInputStream();
            for (int i = 0; i < REQUESTS; i++) {
                String method = METHODS[random.nextInt(METHODS.length)];
                String path = PATHS[random.nextInt(PATHS.length)] + STATUSES[random.nextInt(STATUSES.length)];
                FakeTarget.write(caller, FrontFixture.request(method, path, "a" + i, false));
                readResponse(in, method, method + " " + path);
                assertThat(method + " " + path + ": bytes behind it", in.available(), is(0));
            }
        }
    }

    /** Guards against passing a request target on with other bytes than the caller sent. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/\u00e9", "/safe/\u0080", "/safe/\u007f", "/safe/\u0001"})
    void requestTargetBeyondPrintableAsciiIsRejected(String path) throws IOException {
        try (Socket caller = fixture.connect()) {
            new DataOutputStream(caller.getOutputStream())
                    .write(FrontFixture.request("GET", path, "a", true).getBytes(StandardCharsets.ISO_8859_1));
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 400"));
        }
    }

    /** Guards against a body behind the rejection of a HEAD request that is sent before the request's own body. */
    @Test
    void rejectionOfAHeadRequestHasNoBody() throws IOException {
        String response = fixture.exchange("HEAD /safe/200 HTTP/1.1\r\nAttempt: a\r\n\r\n");
        assertThat(response, startsWith("HTTP/1.1 400"));
        assertThat(response.substring(response.indexOf("\r\n\r\n")), is("\r\n\r\n"));
    }

    /** Reads exactly the bytes that the protocol gives to a response. */
    private static void readResponse(InputStream in, String method, String request) throws IOException {
        String head = FakeTarget.readHead(in);
        Matcher statusLine = STATUS_LINE.matcher(head);
        assertThat(request + " is answered by " + head, statusLine.lookingAt(), is(true));
        int status = Integer.parseInt(statusLine.group(1));
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return;
        }
        String headers = head.toLowerCase(Locale.ROOT);
        Matcher length = LENGTH.matcher(headers);
        if (headers.contains("transfer-encoding: chunked")) {
            readChunks(in);
        } else {
            assertThat(request + " has a length: " + head, length.find(), is(true));
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
    }

    private static void readChunks(InputStream in) throws IOException {
        int size;
        do {
            size = Integer.parseInt(readLine(in), HEXADECIMAL);
            in.readNBytes(size);
            assertThat(readLine(in), is(""));
        } while (size > 0);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = in.read();
        }
        return line.toString().stripTrailing();
    }
}
