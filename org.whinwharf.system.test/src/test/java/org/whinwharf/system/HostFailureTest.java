package org.whinwharf.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.standin.StandInText;

/** Hosts that are killed, frozen or stopped while they answer callers, and engines that pause, as real processes. */
class HostFailureTest {
    private static final int HOME = 1;
    private static final int OTHER = 2;
    private static final int TOKENS = 150;
    private static final int MANY_TOKENS = 400;
    private static final int SHORT = 20;
    private static final int MANY = 10;
    private static final long LONG_DEADLINE_MILLIS = 60_000;
    /** Longer than the silence after which a stream is resumed. */
    private static final long ENGINE_PAUSE_MILLIS = 6_000;

    @TempDir
    private static Path folder;

    private static Fleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = new Fleet("host-failures", folder);
        fleet.start();
    }

    @AfterAll
    static void stopFleet() {
        fleet.stop();
    }

    // A host is cut off while a pickup is being booked and an answer is being written through it. Nobody else knows
    // whether the booking ran. A caller who was told that it did not would book again, and a lorry would come twice;
    // a caller with half an answer would have to pay for the whole of it again.
    @Test
    void killedHomeLeavesBookingsUnknownAndStreamsThatCanBeResumed() {
        Caller caller = Caller.of(fleet.entry(HOME), Fleet.DRIVER);
        String prompt = "Lamps handed over in Zuberec.";
        String pickup = "{\"village\":\"Zuberec\",\"crates\":1}";
        slowPlain(40);
        EventStream stream = caller.open(fleet.entry(HOME), caller.stream(0, prompt, TOKENS, LONG_DEADLINE_MILLIS));
        stream.awaitTokens(10);
        String booking = caller.booking(1, pickup, LONG_DEADLINE_MILLIS);
        CompletableFuture<Http.Reply> first = caller.submitAside(fleet.entry(HOME), booking);
        Await.until("the booking runs", () -> Records.runs(fleet, pickup) == 1);

        fleet.process("entry-" + HOME).kill();
        assertThat(first.join().toString(), first.join().status(), is(Http.BROKEN));
        assertToldUnknown(caller.submit(fleet.entry(OTHER), booking), "home-unreachable");
        assertResumedWhole(caller, stream.awaitClosed(), prompt);

        fleet.startHost(HOME);
        fleet.awaitReady(HOME);
        Await.until(
                "the restarted home answers",
                () -> error(caller.submit(fleet.entry(OTHER), booking)).equals("home-restarted"));
        assertToldUnknown(caller.submit(fleet.entry(HOME), booking), "home-restarted");
        assertThat(Records.runs(fleet, pickup), is(1L));
        assertThat(Records.runs(fleet, prompt), is(1L));
        slowPlain(1);
    }

    // A host stands still with a booking that waits for its place, and goes on after the time the caller gave has
    // passed. Were the booking sent then, it would run though its caller has long been told, or has booked elsewhere.
    @Test
    void homeThatWakesLateSendsNothingThatIsPastItsTime() {
        Caller caller = Caller.of(fleet.entry(HOME), Fleet.DRIVER);
        Caller filler = Caller.of(fleet.entry(OTHER), Fleet.DRIVER);
        slowPlain(60);
        int fillers = 30;
        for (int i = 0; i < fillers; i++) {
            filler.submitAside(fleet.entry(OTHER), filler.booking(i, "filler " + i, LONG_DEADLINE_MILLIS));
        }
        Await.until("the plain services work", () -> load(0) + load(1) > 0);
        String pickup = "{\"village\":\"Habovka\",\"crates\":2}";
        String booking = caller.booking(0, pickup, 2500);
        CompletableFuture<Http.Reply> first = caller.submitAside(fleet.entry(HOME), booking);
        Await.until(
                "the booking is known", () -> caller.ask(fleet.entry(HOME), 0).status() == 200 || first.isDone());

        fleet.process("entry-" + HOME).freeze();
        long runsBefore = Records.runs(fleet, pickup);
        slowPlain(1);
        Await.pause(4000);
        fleet.process("entry-" + HOME).resume();
        JsonNode told = Caller.json(first.join().body());
        Await.pause(1000);
        assertThat(told.toString(), Records.runs(fleet, pickup), is(runsBefore));
        assertThat(told.toString(), told.path("ran").asText().equals("not-run"), is(runsBefore == 0));
        JsonNode again = Caller.json(caller.submit(fleet.entry(OTHER), booking).body());
        assertThat(again.path("error"), is(told.path("error")));
        assertThat(Records.runs(fleet, pickup), is(runsBefore));
    }

    // Guards against answers that are cut, or run again, because all engines stand still for a while and then go on.
    @Test
    void streamsOfEnginesThatAllPauseComeWhole() {
        Caller caller = Caller.of(fleet.entry(HOME), Fleet.DRIVER);
        List<String> prompts =
                List.of("Lamps sorted in Oravice.", "Lamps sorted in Vitanová.", "Lamps sorted in Liesek.");
        List<EventStream> streams = new ArrayList<>();
        for (String prompt : prompts) {
            String body = caller.stream(streams.size(), prompt, MANY_TOKENS, LONG_DEADLINE_MILLIS);
            streams.add(caller.open(fleet.entry(HOME), body));
        }
        // Cold engines take one request at a time, so others may wait still.
        Await.until(
                "an answer has begun",
                () -> streams.stream().anyMatch(stream -> stream.indices().size() >= 5));

        fleet.process("engines").freeze();
        Await.pause(ENGINE_PAUSE_MILLIS);
        streams.forEach(stream -> assertThat(stream.toString(), stream.closed(), is(false)));
        fleet.process("engines").resume();
        streams.forEach(EventStream::awaitClosed);
        streams.forEach(stream -> assertThat(stream.toString(), stream.isItsAnswer(), is(true)));
        prompts.forEach(prompt -> assertThat(prompt, Records.runs(fleet, prompt), is(1L)));
    }

    // Operators stop a host for an update. A caller in the middle of an answer must notice nothing, and one who comes
    // now must be sent on without a doubt about whether its request ran.
    @Test
    void stoppedEntryEndsItsStreamsAndSendsNewCallersOn() {
        Caller caller = Caller.of(fleet.entry(3), Fleet.DRIVER);
        String prompt = "Lamps handed over in Tvrdošín.";
        EventStream stream = caller.open(fleet.entry(3), caller.stream(0, prompt, TOKENS, LONG_DEADLINE_MILLIS));
        stream.awaitTokens(5);

        fleet.process("entry-3").terminate();
        Await.until(
                "the host is leaving",
                () -> Caller.json(Http.get(fleet.admin(3, 9001) + "/v1/status").body())
                        .path("leaving")
                        .asBoolean(),
                () -> fleet.process("entry-3").logTail());
        Http.Reply refused = caller.submit(fleet.entry(3), caller.booking(1, "late", LONG_DEADLINE_MILLIS));
        JsonNode refusal = Caller.json(refused.body());
        assertThat(refused.body(), refusal.path("error").asText(), is("host-leaving"));
        assertThat(refusal.path("ran").asText(), is("not-run"));
        assertThat(refused.body(), refusal.path("addresses").size(), is(not(0)));

        stream.awaitClosed();
        assertThat(stream.toString(), stream.isItsAnswer(), is(true));
        assertThat(fleet.process("entry-3").awaitExit(), is(0));
        assertThat(Records.runs(fleet, "late"), is(0L));
        fleet.startHost(3);
        fleet.awaitReady(3);
    }

    // The scheduler that shares out the targets dies or is stopped while callers wait for it. Another takes over only
    // when the time has passed in which the old one could still grant; sooner, and targets would get twice their load.
    @Test
    void requestsAreServedByTheNextOwnerWhenAnOwnerGoes() {
        Caller caller = Caller.of(fleet.entry(4), Fleet.DRIVER);
        int killed = owner();
        List<EventStream> streams = openMany(caller, 0);
        fleet.process("scheduler-" + killed).kill();
        streams.addAll(openMany(caller, MANY));
        assertAllServed(streams);
        fleet.startHost(killed);
        fleet.awaitReady(killed);

        int stopped = owner();
        streams = openMany(caller, 2 * MANY);
        fleet.process("scheduler-" + stopped).terminate();
        streams.addAll(openMany(caller, 3 * MANY));
        assertAllServed(streams);
        assertThat(fleet.process("scheduler-" + stopped).awaitExit(), is(0));
        fleet.startHost(stopped);
        fleet.awaitReady(stopped);
        for (int number = 0; number < 4 * MANY; number++) {
            assertThat(Records.runs(fleet, prompt(number)), is(1L));
        }
        Records.of(fleet).stream().flatMap(target -> target.engine().stream()).forEach(engine -> {
            assertThat(engine.maxInFlight(), is(lessThanOrEqualTo(Fleet.MOST)));
            assertThat(engine.overloads().size(), is(0));
        });
    }

    /** Finds a host whose scheduler shares out engines now. */
    private static int owner() {
        int[] found = new int[1];
        Await.until("a slice of the engines has an owner", () -> {
            found[0] = IntStream.rangeClosed(1, Fleet.HOSTS)
                    .filter(HostFailureTest::ownsEngines)
                    .findFirst()
                    .orElse(0);
            return found[0] != 0;
        });
        return found[0];
    }

    private static boolean ownsEngines(int host) {
        JsonNode status =
                Caller.json(Http.get(fleet.admin(host, 9002) + "/v1/status").body());
        for (JsonNode slice : status.path("slices")) {
            if (slice.path("service").asText().equals("lampa-llm")
                    && slice.path("share").asDouble() > 0) {
                return true;
            }
        }
        return false;
    }

    private static List<EventStream> openMany(Caller caller, int first) {
        List<EventStream> streams = new ArrayList<>();
        for (int number = first; number < first + MANY; number++) {
            String body = caller.stream(number, prompt(number), SHORT, LONG_DEADLINE_MILLIS);
            streams.add(caller.open(fleet.entry(4), body));
        }
        return streams;
    }

    private static void assertAllServed(List<EventStream> streams) {
        for (EventStream stream : streams) {
            stream.awaitClosed();
            assertThat(stream.toString(), stream.isItsAnswer(), is(true));
        }
    }

    private static String prompt(int number) {
        return "Lamps of school " + number;
    }

    private static void assertToldUnknown(Http.Reply reply, String error) {
        JsonNode told = Caller.json(reply.body());
        assertThat(reply.body(), told.path("ran").asText(), is("unknown"));
        assertThat(reply.body(), told.path("error").asText(), is(error));
    }

    private static void assertResumedWhole(Caller caller, EventStream torn, String prompt) {
        assertThat(torn.toString(), torn.whole(), is(false));
        String receipt = torn.head().path("receipt").asText();
        EventStream rest =
                caller.resume(fleet.entry(OTHER), receipt, torn.indices().size());
        rest.awaitClosed();
        assertThat(rest.toString(), rest.whole(), is(true));
        assertThat(torn.text() + rest.text(), is(answer(torn, prompt)));
    }

    private static String answer(EventStream stream, String prompt) {
        return StandInText.answer(stream.head().path("requestId").asText(), prompt, TOKENS);
    }

    private static String error(Http.Reply reply) {
        return reply.status() == Http.BROKEN
                ? ""
                : Caller.json(reply.body()).path("error").asText();
    }

    private static int load(int dataCentre) {
        return Caller.json(Http.get(fleet.plain(dataCentre) + "/v1/load").body())
                .path("running")
                .asInt();
    }

    private static void slowPlain(int factor) {
        for (int i = 0; i < Fleet.DATA_CENTRES.length; i++) {
            Http.post(fleet.plain(i) + "/faults", "", "{\"slowFactor\": " + factor + "}");
        }
    }
}
