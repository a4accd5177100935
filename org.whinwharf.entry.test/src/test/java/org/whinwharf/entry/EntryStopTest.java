package org.whinwharf.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.util.JsonFormat;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.runtime.command.DaemonRunner;
import org.whinwharf.runtime.command.ExitCode;
import org.whinwharf.runtime.command.WorkInFlight;
import org.whinwharf.wire.caller.Addresses;
import org.whinwharf.wire.schema.Host;

class EntryStopTest {
    private static final String BOOKING =
            "{\"service\":\"zber-app\",\"call\":\"book\",\"body\":\"{}\",\"ticket\":\"%s\",\"number\":%d}";
    private static final String STREAM =
            "{\"service\":\"lampa-llm\",\"model\":\"lampa\",\"prompt\":\"p\",\"maxTokens\":60,\"stream\":true}";
    private static final String LONG_STREAM =
            "{\"service\":\"lampa-llm\",\"model\":\"lampa\",\"prompt\":\"p\",\"maxTokens\":400,\"stream\":true}";
    private static final String LONG_CALL = "{\"service\":\"zber-loose\",\"call\":\"list\",\"body\":\"{}\"}";
    /** Shorter than the work of the tests, and than the time for which callers may hold the address. */
    private static final long DRAIN_MILLIS = 500;

    private EntryFixture fixture;
    private EntryDaemon three;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.shared();
        three = fixture.startThree();
    }

    @AfterEach
    void stop() {
        fixture.grantAll();
        three.stop();
    }

    // A host that is leaving hands out a ticket of its own. Every request under it comes back to that host, whichever
    // one
    // the phone sends it to, and is turned away until the host is gone.
    @Test
    void leavingHostHandsOutNoTicketAndNamesOtherHosts() {
        three.leave();
        HttpResponse<String> answer = fixture.get(EntryFixture.THREE, "/v1/addresses");
        assertThat(answer.statusCode(), is(503));
        assertThat(answer.body(), containsString("\"error\":\"host-leaving\""));
        assertThat(answer.body(), containsString("\"host\":\"host-1\""));
    }

    // The home of a ticket dies after a booking. The phone repeats it at another host, which can't know whether it
    // ran. "Not run" would make the phone book again.
    @Test
    void bookingWhoseHomeDiedIsUnknownAndNeverNotRun() throws Exception {
        String booking = BOOKING.formatted(ticket(EntryFixture.THREE), 0);
        assertThat(fixture.post(EntryFixture.THREE, booking).statusCode(), is(200));
        three.stop();
        HttpResponse<String> response = fixture.post(EntryFixture.ONE, booking);
        assertThat(response.body(), containsString("\"error\":\"home-unreachable\""));
        assertThat(response.body(), containsString("\"ran\":\"unknown\""));
    }

    // The home was restarted and gets a number of its earlier run. It has forgotten what it did under that ticket.
    @Test
    void restartedHomeKnowsThatItDoesNotKnow() throws Exception {
        String booking = BOOKING.formatted(ticket(EntryFixture.THREE), 0);
        assertThat(fixture.post(EntryFixture.THREE, booking).statusCode(), is(200));
        three.stop();
        three = fixture.startThree();
        HttpResponse<String> direct = fixture.post(EntryFixture.THREE, booking);
        assertThat(direct.body(), containsString("\"error\":\"home-restarted\""));
        assertThat(direct.body(), containsString("\"ran\":\"unknown\""));
    }

    // A host is stopped for its replacement while a summary streams. The stream goes on to its end; fresh requests are
    // told at once where else to go.
    @Test
    void plannedStopCutsOffNoStreamAndTurnsFreshRequestsAway() throws Exception {
        HttpResponse<InputStream> stream = fixture.client.send(
                EntryFixture.submission(EntryFixture.THREE, STREAM), HttpResponse.BodyHandlers.ofInputStream());
        CompletableFuture<Void> left = three.leave();
        HttpResponse<String> fresh = fixture.post(EntryFixture.THREE, STREAM);
        assertThat(fresh.body(), containsString("\"error\":\"host-leaving\""));
        assertThat(fresh.body(), containsString("\"host\":\"host-"));
        String body = read(stream.body());
        assertThat(body, containsString("\"tokens\":60"));
        left.get(30, TimeUnit.SECONDS);
    }

    // A request waits for a slot when the time of the stop is over. Its caller saw the connection close, and could not
    // know that it may send the request elsewhere.
    @Test
    void callerWhoseRequestWaitsAtTheEndOfTheDrainIsToldThatItDidNotRun() {
        fixture.silenceAll();
        CompletableFuture<HttpResponse<String>> waiting = submit(EntryFixture.THREE, STREAM);
        awaitStatus("Waiting\":1");
        assertThat(three.workInFlight().orElseThrow(), is(new WorkInFlight(1, 1, 1, List.of())));
        stopAtTheEndOfTheDrain();
        assertNotRun(waiting.join());
    }

    // The same by way of another host, whose caller was told that nobody knows whether the request ran.
    @Test
    void callerOfAnotherHostIsToldToo() throws Exception {
        String ticket = ticket(EntryFixture.THREE);
        awaitRelay(EntryFixture.ONE, ticket);
        fixture.silenceAll();
        CompletableFuture<HttpResponse<String>> waiting = submit(EntryFixture.ONE, BOOKING.formatted(ticket, 1));
        awaitStatus("Waiting\":1");
        stopAtTheEndOfTheDrain();
        HttpResponse<String> response = waiting.join();
        assertThat(response.body(), response.statusCode(), is(503));
        assertThat(response.body(), containsString("\"ran\":\"not-run\""));
    }

    // A request that this host passed on to another home is still there when the time of the stop is over. Only the
    // home knows whether it runs; its caller saw the connection close and was not told to ask for it.
    @Test
    void callerWhoseRequestIsAtAnotherHomeIsToldThatTheOutcomeIsUnknown() throws Exception {
        String ticket = ticket(EntryFixture.ONE);
        awaitRelay(EntryFixture.THREE, ticket);
        fixture.silenceAll();
        CompletableFuture<HttpResponse<String>> relayed = submit(EntryFixture.THREE, BOOKING.formatted(ticket, 1));
        EntryFixture.until(
                "waiting at its home",
                () -> fixture.admin(EntryFixture.ONE, "/v1/status").contains("Waiting\":1"));
        stopAtTheEndOfTheDrain();
        HttpResponse<String> response = relayed.join();
        assertThat(response.body(), response.statusCode(), is(502));
        assertThat(response.body(), containsString("\"error\":\"home-unreachable\""));
        assertThat(response.body(), containsString("\"ran\":\"unknown\""));
        EntryFixture.until(
                "given up by its home",
                () -> !fixture.admin(EntryFixture.ONE, "/v1/status").contains("Waiting\":1"));
    }

    // A target works on a call when the time of the stop is over. "Not run" would make the caller repeat it.
    @Test
    void callerWhoseCallRunsAtTheEndOfTheDrainIsToldThatItMayHaveRun() throws Exception {
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        LooseTarget target = new LooseTarget(EntryFixture.LOOSE, (connection, out, body) -> {
            reached.countDown();
            over.await();
        });
        target.start();
        try {
            CompletableFuture<HttpResponse<String>> running = submit(EntryFixture.THREE, LONG_CALL);
            assertThat(reached.await(30, TimeUnit.SECONDS), is(true));
            stopAtTheEndOfTheDrain();
            HttpResponse<String> response = running.join();
            assertThat(response.body(), response.statusCode(), is(502));
            assertThat(response.body(), containsString("\"error\":\"target-lost\""));
            assertThat(response.body(), containsString("\"ran\":\"unknown\""));
        } finally {
            over.countDown();
            target.stop();
        }
    }

    // A stream outlasts the stop. An end would make a part of it look whole, and an order to the engine to drop it
    // would leave nothing for the caller to resume.
    @Test
    void streamThatOutlastsTheDrainIsBrokenOffAndResumedElsewhere() throws Exception {
        HttpResponse<InputStream> stream = fixture.client.send(
                EntryFixture.submission(EntryFixture.THREE, LONG_STREAM), HttpResponse.BodyHandlers.ofInputStream());
        StringBuilder read = new StringBuilder();
        CompletableFuture<Boolean> brokenOff =
                CompletableFuture.supplyAsync(() -> readUntilBroken(stream.body(), read));
        stopAtTheEndOfTheDrain();
        assertThat(brokenOff.get(30, TimeUnit.SECONDS), is(true));
        assertThat(read.toString(), containsString("event: token"));
        assertThat(read.toString(), not(containsString("event: end")));
        assertThat(read.toString(), not(containsString("event: error")));
        String receipt = read.toString().replaceAll("(?s).*\"receipt\":\"([^\"]*)\".*", "$1");
        HttpResponse<String> resumed = fixture.get(EntryFixture.ONE, "/v1/streams?from=0&receipt=" + receipt);
        assertThat(resumed.body(), containsString("\"tokens\":400"));
    }

    private CompletableFuture<HttpResponse<String>> submit(Host host, String body) {
        return fixture.client.sendAsync(EntryFixture.submission(host, body), HttpResponse.BodyHandlers.ofString());
    }

    /** Waits until a host reaches the home of a ticket, of which it uses the first number. */
    private void awaitRelay(Host host, String ticket) {
        EntryFixture.until(
                "relayed",
                () -> fixture.post(host, BOOKING.formatted(ticket, 0)).statusCode() == 200);
    }

    private void awaitStatus(String part) {
        EntryFixture.until(
                part, () -> fixture.admin(EntryFixture.THREE, "/v1/status").contains(part));
    }

    private void stopAtTheEndOfTheDrain() {
        assertThat(new DaemonRunner(three, DRAIN_MILLIS).stop(), is(ExitCode.DRAIN_TIMEOUT));
    }

    private static void assertNotRun(HttpResponse<String> response) {
        assertThat(response.body(), response.statusCode(), is(503));
        assertThat(response.body(), containsString("\"error\":\"host-leaving\""));
        assertThat(response.body(), containsString("\"ran\":\"not-run\""));
        assertThat(response.body(), containsString("\"host\":\"host-1\""));
        assertThat(response.headers().firstValue("Retry-After").isPresent(), is(true));
    }

    /** Tells whether the connection broke before the end of the body. */
    private static boolean readUntilBroken(InputStream body, StringBuilder read) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                read.append(line).append('\n');
            }
            return false;
        } catch (IOException broken) {
            return true;
        }
    }

    private String ticket(Host host) throws Exception {
        Addresses.Builder addresses = Addresses.newBuilder();
        JsonFormat.parser().merge(fixture.get(host, "/v1/addresses").body(), addresses);
        return addresses.getTicket();
    }

    private static String read(InputStream body) throws Exception {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
            return reader.lines().reduce("", (whole, line) -> whole + line + "\n");
        }
    }
}
