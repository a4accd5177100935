package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies that requests that could smuggle a second one, or that are too large, never reach a target. */
class MalformedRequestTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    /**
     * If the front and a target disagree on where a request ends, a caller can smuggle a second request in the body of
     * the first one, past API keys and quotas.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400|POST /unsafe/x HTTP/1.1~Host: h~Attempt: a~Content-Length: 4~Transfer-Encoding: chunked~~0~~",
                "400|POST /unsafe/x HTTP/1.1~Host: h~Attempt: a~Content-Length: 4~Content-Length: 5~~abcde",
                "400|POST /unsafe/x HTTP/1.1~Host: h~Attempt: a~Transfer-Encoding: xchunked~~0~~",
                "400|POST /unsafe/x HTTP/1.1~Host: h~Attempt: a~Transfer-Encoding : chunked~~0~~",
                "400|GET /unsafe/x HTTP/1.1~Host: h~Host: i~Attempt: a~~",
                "400|GET http://h/unsafe/x HTTP/1.1~Host: h~Attempt: a~~",
                "400|GET /unsafe/x HTTP/1.1~Host: h~Connection: close~~",
                "413|POST /unsafe/x HTTP/1.1~Host: h~Attempt: a~Content-Length: 99999999~~",
                "404|GET /other/x HTTP/1.1~Host: h~Attempt: a~Connection: close~~"
            })
    void isRejectedAndNotForwarded(int status, String request) throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            FakeTarget target =
                    fixture.target("t", (head, socket) -> FakeTarget.write(socket, FakeTarget.answer(head, 200, "")));
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            String response = fixture.exchange(request.replace("~", "\r\n"));
            assertThat(response, startsWith("HTTP/1.1 " + status));
            assertThat(target.requests(), empty());
        }
    }

    @Test
    void oversizedHeadIsRejected() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            String response =
                    fixture.exchange("GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: " + "a".repeat(40_000) + "\r\n\r\n");
            assertThat(response, startsWith("HTTP/1.1 431"));
        }
    }

    /**
     * A caller pipelines a second request before the response to the first. Both responses must arrive in order, each
     * with the body of its own request.
     */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            FakeTarget target = fixture.target(
                    "t",
                    (head, socket) -> FakeTarget.write(
                            socket, FakeTarget.answer(head, 200, "own-" + FakeTarget.attemptId(head))));
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            String both = FrontFixture.request("GET", "/safe/x", "a", false)
                    + FrontFixture.request("GET", "/safe/x", "b", true);
            String responses = fixture.exchange(both);
            assertThat(responses.replaceAll("(?s)^.*?own-a.*own-b$", "in order"), startsWith("in order"));
            assertThat(target.requests(), hasSize(2));
        }
    }
}
