package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests in which a second one could hide, or that cost too much, never reach a target. */
class MalformedRequestTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    /**
     * A proxy and a target that disagree on where a request ends let a caller hide a second request in the first one's
     * body, past keys and quotas.
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
            String answer = fixture.exchange(request.replace("~", "\r\n"));
            assertThat(answer, startsWith("HTTP/1.1 " + status));
            assertThat(target.requests(), empty());
        }
    }

    @Test
    void oversizedHeadIsRejected() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            String answer =
                    fixture.exchange("GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: " + "a".repeat(40_000) + "\r\n\r\n");
            assertThat(answer, startsWith("HTTP/1.1 431"));
        }
    }

    /**
     * A caller sends its second request before the first is answered; both are answered in order, each with its own.
     */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            FakeTarget target = fixture.target(
                    "t",
                    (head, answering) -> FakeTarget.write(
                            answering, FakeTarget.answer(head, 200, "own-" + FakeTarget.attemptId(head))));
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            String both = FrontFixture.request("GET", "/safe/x", "a", false)
                    + FrontFixture.request("GET", "/safe/x", "b", true);
            String answers = fixture.exchange(both);
            assertThat(answers.replaceAll("(?s)^.*?own-a.*own-b$", "in order"), startsWith("in order"));
            assertThat(target.requests(), hasSize(2));
        }
    }
}
