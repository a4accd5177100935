package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests fronts that lose their paths to the targets while callers and the other fronts still reach them. */
class PartitionedFrontTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 4;
    /** Time after the begin of a partition from which a partitioned front must serve its callers like the others. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long OBSERVED_MILLIS = 1_500;
    /** More than the idle time up to which a connection is used for a request that must not be repeated. */
    private static final long IDLE_EXPIRY_MILLIS = 2_500;

    /** More than one for each target, since a single lost connection ejects none. */
    private static final int REQUESTS_UNDER_WAY = 4 * TARGETS;

    private CutFleet fleet;

    private void startFleet(boolean engine) throws Exception {
        startFleet(engine, (request, socket) -> FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole")));
    }

    private void startFleet(boolean engine, FakeTarget.Script script) throws Exception {
        fleet = new CutFleet(FRONTS, TARGETS, engine, script);
        fleet.requestsToAllFor("POST", "/unsafe/x", 300);
    }

    @AfterEach
    void stopFleet() throws Exception {
        fleet.close();
    }

    private int otherThanCoordinator() {
        return (fleet.coordinator() + 1) % FRONTS;
    }

    /** Guards against refusing the callers of a front that has no path to any engine, while its peers have one. */
    @ParameterizedTest
    @EnumSource
    void partitionedFrontServesEngineRequests(CutLink.Cut cut) throws Exception {
        startFleet(true);
        int partitioned = otherThanCoordinator();
        fleet.cut(partitioned, cut);
        fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (List<String> responses : fleet.requestsToAllFor("POST", "/unsafe/x", OBSERVED_MILLIS)) {
            assertThat(responses, everyItem(startsWith("HTTP/1.1 200")));
        }
    }

    /** Guards against the same for plain services, whose requests each front places by itself. */
    @ParameterizedTest
    @EnumSource
    void partitionedFrontServesPlainRequests(CutLink.Cut cut) throws Exception {
        startFleet(false);
        fleet.cut(0, cut);
        fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (List<String> responses : fleet.requestsToAllFor("POST", "/unsafe/x", OBSERVED_MILLIS)) {
            assertThat(responses, everyItem(startsWith("HTTP/1.1 200")));
        }
    }

    /** Guards against ejecting targets for the whole fleet because one front has lost its paths to them. */
    @ParameterizedTest
    @EnumSource
    void partitionedFrontTakesNoTargetFromOthers(CutLink.Cut cut) throws Exception {
        startFleet(true);
        int partitioned = otherThanCoordinator();
        // Idle connections expire, so that the next requests have to connect.
        Thread.sleep(IDLE_EXPIRY_MILLIS);
        fleet.cut(partitioned, cut);
        List<List<String>> responses = fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (int i = 0; i < FRONTS; i++) {
            if (i != partitioned) {
                assertThat(responses.get(i), everyItem(startsWith("HTTP/1.1 200")));
            }
        }
        assertThat(fleet.counter("whinwharf_ejections_total"), is(0.0));
    }

    /** Guards against the same because of requests that were on their way when the paths were lost. */
    @ParameterizedTest
    @EnumSource(names = {"SILENT", "RESET"})
    void requestsThatLosePathTakeNoTargetFromOthers(CutLink.Cut cut) throws Exception {
        CountDownLatch sent = new CountDownLatch(REQUESTS_UNDER_WAY);
        CountDownLatch released = new CountDownLatch(1);
        startFleet(true, (request, socket) -> {
            if (request.contains("/slow")) {
                sent.countDown();
                FrontFixture.awaitLatch(released);
            }
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
        });
        FrontFixture partitioned = fleet.front(otherThanCoordinator());
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < REQUESTS_UNDER_WAY; i++) {
            Socket caller = partitioned.connect();
            callers.add(caller);
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/slow", "slow" + i, true));
        }
        assertThat(sent.await(CONTACT_MILLIS, TimeUnit.MILLISECONDS), is(true));
        fleet.cut(otherThanCoordinator(), cut);
        Thread.sleep(CONTACT_MILLIS);
        assertThat(fleet.counter("whinwharf_ejections_total"), is(0.0));
        released.countDown();
        for (Socket caller : callers) {
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against a coordinator that has lost its paths and refuses the requests of fronts that have theirs. */
    @ParameterizedTest
    @EnumSource
    void partitionedCoordinatorServesAllFronts(CutLink.Cut cut) throws Exception {
        startFleet(true);
        fleet.cut(fleet.coordinator(), cut);
        fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (List<String> responses : fleet.requestsToAllFor("POST", "/unsafe/x", OBSERVED_MILLIS)) {
            assertThat(responses, everyItem(startsWith("HTTP/1.1 200")));
        }
    }

    /** Guards against holding requests that no front can send, and against refusing them after the paths are back. */
    @Test
    void fleetWithoutAnyPathRefusesAtOnceAndReturns() throws Exception {
        startFleet(true);
        for (int i = 0; i < FRONTS; i++) {
            fleet.cut(i, CutLink.Cut.SILENT);
        }
        fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (int i = 0; i < FRONTS; i++) {
            long startNanos = System.nanoTime();
            String response = fleet.front(i).exchange(FrontFixture.request("POST", "/unsafe/x", "refused" + i, true));
            assertThat(response, both(startsWith("HTTP/1.1 503")).and(containsString("retry-after")));
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), lessThan(250L));
        }
        for (int i = 0; i < FRONTS; i++) {
            fleet.heal(i);
        }
        fleet.requestsToAllFor("POST", "/unsafe/x", CONTACT_MILLIS);
        for (List<String> responses : fleet.requestsToAllFor("POST", "/unsafe/x", OBSERVED_MILLIS)) {
            assertThat(responses, everyItem(startsWith("HTTP/1.1 200")));
        }
    }
}
