package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;
import org.junit.jupiter.api.Test;

class StartTest {
    /**
     * All fronts were killed and are restarting. A caller that finds every port closed fails at once, although the
     * first front serves a few hundred milliseconds later.
     */
    @Test
    void callerThatConnectsBeforeTheCatalogIsKnownIsServed() throws IOException {
        try (FrontFixture fixture = new FrontFixture();
                Socket caller = fixture.connect()) {
            fixture.target(
                    "t", (request, socket) -> FakeTarget.write(socket, FakeTarget.answer(request, 200, "hello")));
            fixture.publishCatalog(1, 5_000);
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/x", "a", true));
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against metrics that are never served: their start runs on the event loop, which must not block. */
    @Test
    void metricsAreServedOnceTheFrontHasStarted() throws Exception {
        try (FrontFixture fixture = new FrontFixture()) {
            FrontFixture.await(() -> metrics(fixture).contains("whinwharf_connections"));
        }
    }

    private static String metrics(FrontFixture fixture) {
        try (Socket socket = fixture.connectToMetrics()) {
            FakeTarget.write(socket, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return FrontFixture.readAll(socket);
        } catch (IOException e) {
            return "not served yet: " + e;
        }
    }

    /**
     * The publishing service is unavailable while all fronts start. A caller whose connection is not read loses a
     * second of its deadline; a caller that receives a short Retry-After delay does not.
     */
    @Test
    void callerGetsRetryAfterWhenTheCatalogStaysUnknown() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            String answer = fixture.exchange(FrontFixture.request("GET", "/safe/x", "a", true));
            assertThat(answer, startsWith("HTTP/1.1 503"));
            assertThat(answer.toLowerCase(Locale.ROOT), containsString("retry-after"));
        }
    }
}
