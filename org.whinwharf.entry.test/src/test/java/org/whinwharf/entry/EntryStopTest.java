package org.whinwharf.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.util.JsonFormat;
import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.caller.Addresses;

class EntryStopTest {
    private static final String BOOKING =
            "{\"service\":\"zber-app\",\"call\":\"book\",\"body\":\"{}\",\"ticket\":\"%s\",\"number\":%d}";
    private static final String STREAM =
            "{\"service\":\"lampa-llm\",\"model\":\"lampa\",\"prompt\":\"p\",\"maxTokens\":60,\"stream\":true}";
    private EntryFixture fixture;
    private EntryDaemon three;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.shared();
        three = fixture.startThree();
    }

    @AfterEach
    void stop() {
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
        String booking = BOOKING.formatted(ticket(), 0);
        assertThat(fixture.post(EntryFixture.THREE, booking).statusCode(), is(200));
        three.stop();
        HttpResponse<String> response = fixture.post(EntryFixture.ONE, booking);
        assertThat(response.body(), containsString("\"error\":\"home-unreachable\""));
        assertThat(response.body(), containsString("\"ran\":\"unknown\""));
    }

    // The home was restarted and gets a number of its earlier run. It has forgotten what it did under that ticket.
    @Test
    void restartedHomeKnowsThatItDoesNotKnow() throws Exception {
        String booking = BOOKING.formatted(ticket(), 0);
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

    private String ticket() throws Exception {
        Addresses.Builder addresses = Addresses.newBuilder();
        JsonFormat.parser()
                .merge(fixture.get(EntryFixture.THREE, "/v1/addresses").body(), addresses);
        return addresses.getTicket();
    }

    private static String read(InputStream body) throws Exception {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
            return reader.lines().reduce("", (whole, line) -> whole + line + "\n");
        }
    }
}
