package org.whinwharf.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.bench.history.History;
import org.whinwharf.bench.history.Tolerances;
import org.whinwharf.bench.history.Withdrawal;

/** Documents that take a data centre out, and a configuration service that is down or goes back, as real processes. */
class ConfigurationFailureTest {
    private static final int LONG = 250;
    private static final long DEADLINE_MILLIS = 60_000;

    @TempDir
    private static Path folder;

    private static Fleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = new Fleet("configuration-failures", folder);
        fleet.start();
    }

    @AfterAll
    static void stopFleet() {
        fleet.stop();
    }

    // Operators take a data centre out because its power is to be cut. Work that is still sent there is lost with it;
    // callers whose answers are being written there lose them when those are cut off at once. When it comes back, its
    // engines have lost their caches, and what would be right for warm ones makes them fall over.
    @Test
    void dataCentreThatIsOutEndsItsAnswersAndGetsNoNewWork() {
        Caller caller = Caller.of(fleet.entry(1), Fleet.DRIVER);
        Caller other = Caller.of(fleet.entry(2), Fleet.DRIVER);
        List<EventStream> before = openMany(caller, fleet.entry(1), 0, 6);
        before.forEach(stream -> stream.awaitTokens(1));
        List<EventStream> waiting = openMany(other, fleet.entry(2), 50, 24);
        long outMillis = System.currentTimeMillis();
        int out = fleet.publish(false, true);
        Await.until("every process has it", () -> fleet.generationEverywhere(out));
        List<EventStream> during = openMany(other, fleet.entry(2), 100, 12);
        Http.Reply refused = caller.submit(fleet.entry(1), caller.booking(50, "turned away", DEADLINE_MILLIS));
        assertNotRunElsewhere(refused);
        assertAllWhole(before);
        assertAllWhole(waiting);
        assertAllWhole(during);
        Await.until("the time for leaving has passed", () -> System.currentTimeMillis() > outMillis + 4000);
        assertAllWhole(openMany(other, fleet.entry(2), 200, 8));

        int streamsBefore = Records.streams(fleet, 0).size();
        for (int i = 0; i < Fleet.TARGETS_PER_DATA_CENTRE; i++) {
            Http.post(fleet.engine(0, i) + "/faults", "", "{\"goCold\": true}");
        }
        long backMillis = System.currentTimeMillis();
        int back = fleet.publish(true, true);
        Await.until("every process has it", () -> fleet.generationEverywhere(back));
        int[] next = {300};
        Await.until(
                "its engines get work again",
                () -> {
                    assertAllWhole(openMany(caller, fleet.entry(1), next[0], 16));
                    next[0] += 16;
                    return Records.streams(fleet, 0).size() > streamsBefore;
                },
                () -> Http.get(fleet.admin(1, 9002) + "/v1/status").body() + " after " + next[0]);
        Records.of(fleet).stream()
                .flatMap(target -> target.engine().stream())
                .forEach(engine -> assertThat(
                        engine.overloads().toString(), engine.overloads().isEmpty(), is(true)));
        List<Withdrawal> withdrawals = List.of(new Withdrawal(Fleet.DATA_CENTRES[0], "", outMillis, backMillis));
        History history = new History(List.of(), Records.of(fleet), withdrawals, Tolerances.DEFAULT);
        assertThat(history.violations().toString(), history.violations().isEmpty(), is(true));
        assertThat(Records.runs(fleet, "turned away"), is(0L));
    }

    // The configuration service is down, comes back with a document from a backup, and a host is lost and restarted
    // meanwhile. Hosts that wait for the service serve nobody; a host that takes the backup brings back limits and
    // data centres that operators had done away with.
    @Test
    void fleetServesWhileConfigurationIsDownAndNeverGoesBack() {
        int newest = fleet.publish(true, true);
        Await.until("every process has it", () -> fleet.generationEverywhere(newest));
        fleet.faultPlatform("{\"documentsDown\": true}");
        Caller caller = Caller.of(fleet.entry(3), Fleet.DRIVER);
        String pickup = "{\"village\":\"Oravice\",\"crates\":3}";
        slowPlain(40);
        String booking = caller.booking(0, pickup, DEADLINE_MILLIS);
        CompletableFuture<Http.Reply> first = caller.submitAside(fleet.entry(3), booking);
        Await.until("the booking runs", () -> Records.runs(fleet, pickup) == 1);
        fleet.process("entry-3").kill();
        fleet.process("scheduler-3").kill();
        assertThat(first.join().status(), is(Http.BROKEN));
        slowPlain(1);
        Caller other = Caller.of(fleet.entry(2), Fleet.DRIVER);
        assertAllWhole(openMany(other, fleet.entry(2), 0, 4));
        fleet.startHost(3);
        fleet.awaitReady(3);
        assertThat(fleet.generationAt(3, 9001), is((long) newest));
        assertThat(fleet.generationAt(3, 9002), is((long) newest));
        Await.until(
                "the restarted home says that it does not know",
                () -> told(other.submit(fleet.entry(2), booking)).equals("home-restarted"));
        assertThat(Records.runs(fleet, pickup), is(1L));

        fleet.publishAgain(1, false, true);
        fleet.faultPlatform("{\"documentsDown\": false, \"staleDocument\": true}");
        Await.pause(3000);
        assertThat(fleet.generationEverywhere(newest), is(true));
        assertAllWhole(openMany(other, fleet.entry(2), 100, 4));
        fleet.faultPlatform("{\"staleDocument\": false}");
        int higher = fleet.publish(true, true);
        Await.until("the higher one is everywhere", () -> fleet.generationEverywhere(higher));
    }

    private static List<EventStream> openMany(Caller caller, String entry, int first, int count) {
        List<EventStream> streams = new ArrayList<>();
        for (int number = first; number < first + count; number++) {
            int tokens = first == 0 ? LONG : 20;
            streams.add(caller.open(entry, caller.stream(number, prompt(number), tokens, DEADLINE_MILLIS)));
        }
        return streams;
    }

    private static String prompt(int number) {
        return "Lamps of village " + number;
    }

    private static void assertAllWhole(List<EventStream> streams) {
        for (EventStream stream : streams) {
            stream.awaitClosed();
            assertThat(stream.toString(), stream.isItsAnswer(), is(true));
        }
    }

    private static void assertNotRunElsewhere(Http.Reply refused) {
        JsonNode refusal = Caller.json(refused.body());
        assertThat(refused.body(), refusal.path("error").asText(), is("host-leaving"));
        assertThat(refused.body(), refusal.path("ran").asText(), is("not-run"));
        assertThat(refused.body(), refusal.path("addresses").size(), is(not(0)));
    }

    private static String told(Http.Reply reply) {
        return reply.status() == Http.BROKEN
                ? ""
                : Caller.json(reply.body()).path("error").asText();
    }

    private static void slowPlain(int factor) {
        for (int i = 0; i < Fleet.DATA_CENTRES.length; i++) {
            Http.post(fleet.plain(i) + "/faults", "", "{\"slowFactor\": " + factor + "}");
        }
    }
}
