package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what the log of a front says of the streams that it went on with right before it was killed. */
class KilledFrontLogTest {
    private static final int FIRST_WORKER = 20;
    private static final int WORKERS = 3;
    private static final long LONG_AGO_MILLIS = TimeUnit.HOURS.toMillis(1);
    /** Longer than a batch of lines waits, so that the first line of the resumed stream begins a batch. */
    private static final long QUIET_MILLIS = 1_000;
    /** Half of the time that a batch of lines waits; five times the longest wait of prompt lines. */
    private static final long KILLED_AFTER_MILLIS = 100;

    private final List<StreamWorker> workers = new ArrayList<>();
    private DeployedFleet fleet;

    @BeforeEach
    void startFleet() throws IOException {
        fleet = new DeployedFleet();
        for (int i = 0; i < WORKERS; i++) {
            StreamWorker worker = new StreamWorker(
                    "i-" + i, "one", "v1", fleet.ip(FIRST_WORKER + i), System.currentTimeMillis() - LONG_AGO_MILLIS);
            worker.start();
            workers.add(worker);
            fleet.store().put(worker.key(), worker.entry("ready"));
        }
        fleet.store()
                .put(
                        "op/config",
                        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\","
                                + "\"kind\":\"streaming\",\"resumable\":true,\"gap-target-ms\":300,"
                                + "\"timeout-ms\":10000,\"slo-ms\":300,\"service\":\"one\",\"attempts\":1,"
                                + "\"public\":true}],\"services\":[{\"name\":\"one\",\"health-path\":\"/healthz\"}],"
                                + "\"limits\":{},\"tenants\":[]}");
        fleet.start();
        fleet.awaitReady();
    }

    @AfterEach
    void stop() {
        fleet.stop();
        workers.forEach(StreamWorker::stop);
    }

    /** Guards against a front that goes on with a stream and is killed before its log names the request. */
    @Test
    void logOfAKilledFrontNamesTheStreamsThatItWentOnWith() {
        List<String> missing = new ArrayList<>();
        for (int i = 0; i < DeployedFleet.FRONTS; i++) {
            FrontProcess front = fleet.fronts().get(i);
            BrokenStream begun = begin(front, i);
            sleep(QUIET_MILLIS);
            String resumedBy = attempt(i, 'f');
            BrokenStream resumed = begun.call(front.callerAddress(), resumedBy, true);
            sleep(KILLED_AFTER_MILLIS);
            front.kill();
            assertThat("went on at " + front.name(), resumed.wentOn(), is(true));
            for (String event : List.of("stream-origin", "stream-continued")) {
                if (!named(front.log(), event, resumedBy)) {
                    missing.add(event + " at " + front.name());
                }
            }
        }
        assertThat("lines that are missing", missing, is(List.of()));
    }

    /** Begins a stream that its worker breaks off, with further attempts until one brings an event. */
    private static BrokenStream begin(FrontProcess front, int index) {
        List<BrokenStream> begun = new ArrayList<>(List.of(BrokenStream.nothing("/r/" + index)));
        DeployedFleet.await("first event", () -> {
            begun.set(0, begun.get(0).call(front.callerAddress(), attempt(index, 'a'), false));
            return !begun.get(0).versions().isEmpty();
        });
        return begun.get(0);
    }

    private static String attempt(int index, char last) {
        return String.format("%015x%c", index + 1, last);
    }

    private static boolean named(String log, String event, String attemptId) {
        return Arrays.stream(log.split("\n"))
                .anyMatch(line -> line.contains('"' + event + '"') && line.contains('"' + attemptId + '"'));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
