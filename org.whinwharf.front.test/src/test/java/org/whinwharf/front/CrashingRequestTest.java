package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests under which targets crash, which their callers repeat with a new attempt id each time. */
class CrashingRequestTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 10;
    /** Number of targets that may crash under one request, over all fronts and all attempts of its caller. */
    private static final int MAX_CRASHES = 3;

    private static final int ATTEMPTS = 6;
    private static final long ATTEMPT_INTERVAL_MILLIS = 400;
    /** Time from a crash until a front notices it, within the time that a response may take. */
    private static final long NOTICE_MILLIS = 300;
    /** More than the time after a lost run in which its target may show that it has lived on. */
    private static final long LIFE_SIGN_MILLIS = 800;

    static Stream<Arguments> crashes() {
        return Stream.of(CrashingFleet.Crash.values())
                .flatMap(crash -> Stream.of("GET /safe/", "POST /resumable/")
                        .flatMap(request -> Stream.of(false, true)
                                .flatMap(engine -> Stream.of(CrashingFleet.Moment.values())
                                        .filter(moment -> moment == CrashingFleet.Moment.BEFORE_RESPONSE
                                                || request.contains("resumable"))
                                        .map(moment -> Arguments.of(crash, moment, request, engine)))));
    }

    /** Guards against one caller that takes down target after target with a request that crashes each of them. */
    @ParameterizedTest
    @MethodSource("crashes")
    void requestIsNotSentAfterItsTargetsCrashed(
            CrashingFleet.Crash crash, CrashingFleet.Moment moment, String request, boolean engine) throws Exception {
        String method = request.split(" ")[0];
        String path = request.split(" ")[1] + "crash";
        try (CrashingFleet fleet = new CrashingFleet(FRONTS, TARGETS, engine, crash, moment, 0)) {
            for (int i = 0; i < ATTEMPTS; i++) {
                fleet.attempt(i % FRONTS, method, path);
                Thread.sleep(ATTEMPT_INTERVAL_MILLIS);
            }
            assertThat(fleet.crashes("crash"), lessThanOrEqualTo(MAX_CRASHES));
        }
    }

    /** Guards against the same when the caller repeats at once and does not wait as the response says. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestRepeatedAtOnceIsNotSentAfterItsTargetsCrashed(boolean engine) throws Exception {
        try (CrashingFleet fleet = new CrashingFleet(
                FRONTS, TARGETS, engine, CrashingFleet.Crash.REFUSING, CrashingFleet.Moment.BEFORE_RESPONSE, 0)) {
            for (int i = 0; i < ATTEMPTS; i++) {
                fleet.attempt(i % FRONTS, "GET", "/safe/crash");
            }
            assertThat(fleet.crashes("crash"), lessThanOrEqualTo(MAX_CRASHES));
        }
    }

    /** Guards against the same when the caller repeats before its first attempt has ended, at another front. */
    @ParameterizedTest
    @EnumSource
    void requestSentTwiceAtOnceCrashesThreeTargetsAtMost(CrashingFleet.Crash crash) throws Exception {
        try (CrashingFleet fleet = startFleet(true, crash)) {
            for (int i = 0; i < ATTEMPTS / 2; i++) {
                callAll(List.of(
                        () -> fleet.attempt(0, "GET", "/safe/crash"), () -> fleet.attempt(1, "GET", "/safe/crash")));
                Thread.sleep(ATTEMPT_INTERVAL_MILLIS);
            }
            assertThat(fleet.crashes("crash"), lessThanOrEqualTo(MAX_CRASHES));
        }
    }

    /** Guards against forgetting the crashes with the front that saw them. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void crashesAreRememberedWhenTheirFrontIsKilled(boolean engine) throws Exception {
        try (CrashingFleet fleet = startFleet(engine, CrashingFleet.Crash.REFUSING)) {
            int killed = engine ? fleet.fleet().coordinator() : 0;
            fleet.attempt(killed, "GET", "/safe/crash");
            fleet.fleet().front(killed).kill();
            for (int i = 0; i < ATTEMPTS; i++) {
                int front = (killed + 1 + i % (FRONTS - 1)) % FRONTS;
                fleet.attempt(front, "GET", "/safe/crash");
            }
            assertThat(fleet.crashes("crash"), lessThanOrEqualTo(MAX_CRASHES));
        }
    }

    /** Guards against a crash that is taken for a lost path, as its front notices it long after the target is back. */
    @Test
    void crashNoticedAfterTheRestartIsHeldAgainstItsRequest() throws Exception {
        AtomicInteger crashes = new AtomicInteger();
        AtomicReference<CutFleet> started = new AtomicReference<>();
        FakeTarget.Script script = (request, socket) -> {
            if (request.contains("/crash ")) {
                crashes.incrementAndGet();
                crashUnnoticedByTheFirstFront(started.get(), started.get().targetOf(socket));
            } else {
                FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
            }
        };
        ExecutorService callers = Executors.newSingleThreadExecutor();
        try (CutFleet fleet = new CutFleet(2, FRONTS, false, script)) {
            started.set(fleet);
            fleet.requestsFor(1, "GET", "/safe/x", ATTEMPT_INTERVAL_MILLIS);
            long harmlessMillis = ATTEMPTS * (NOTICE_MILLIS * MAX_CRASHES + LIFE_SIGN_MILLIS);
            Future<List<String>> harmless =
                    callers.submit(() -> fleet.requestsFor(1, "GET", "/safe/x", harmlessMillis));
            for (int i = 0; i < ATTEMPTS; i++) {
                fleet.front(0).exchange(FrontFixture.request("GET", "/safe/crash", "attempt" + i, ""));
                Thread.sleep(LIFE_SIGN_MILLIS);
            }
            assertThat(crashes.get(), lessThanOrEqualTo(MAX_CRASHES));
            harmless.get();
        } finally {
            callers.shutdownNow();
        }
    }

    /** Ends all connections of a target that is back at once, those of the first front later. */
    private static void crashUnnoticedByTheFirstFront(CutFleet fleet, int target) throws IOException {
        CutLink late = fleet.links(0).get(target);
        fleet.links(1).get(target).resetOpen();
        try {
            Thread.sleep(NOTICE_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        late.resetOpen();
    }

    /** Guards against a front that has just started and knows of no crash. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void frontThatHasJustStartedLearnsOfCrashes(boolean engine) throws Exception {
        try (CrashingFleet fleet = startFleet(engine, CrashingFleet.Crash.REFUSING)) {
            fleet.attempt(0, "GET", "/safe/crash");
            int newcomer = fleet.fleet().startFront();
            for (int i = 0; i < ATTEMPTS; i++) {
                fleet.attempt(newcomer, "GET", "/safe/crash");
            }
            assertThat(fleet.crashes("crash"), lessThanOrEqualTo(MAX_CRASHES));
        }
    }

    /** Guards against an answer that says that the request has not run, or that invites its caller back at once. */
    @Test
    void quarantinedRequestIsRefusedWithTheTimeToComeBack() throws Exception {
        try (CrashingFleet fleet = startFleet(false, CrashingFleet.Crash.REFUSING)) {
            String crashed = fleet.attempt(0, "GET", "/safe/crash");
            assertThat(crashed, startsWith("HTTP/1.1 502"));
            assertThat(retryAfterSeconds(crashed), greaterThan(60.0));
            int crashes = fleet.crashes();
            String refused = fleet.attempt(1, "GET", "/safe/crash");
            assertThat(refused, startsWith("HTTP/1.1 503"));
            assertThat(retryAfterSeconds(refused), greaterThan(60.0));
            assertThat(fleet.crashes(), is(crashes));
            assertThat(fleet.attempt(1, "GET", "/safe/other"), startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against an answer that invites the next attempt before all fronts know of the crash. */
    @Test
    void callerOfLostRequestIsToldToWait() throws Exception {
        try (CrashingFleet fleet = startFleet(false, CrashingFleet.Crash.REFUSING)) {
            String lost = fleet.attempt(0, "POST", "/unsafe/crash");
            assertThat(lost, startsWith("HTTP/1.1 502"));
            assertThat(lost.toLowerCase(Locale.ROOT), containsString("retry-after: "));
        }
    }

    private static double retryAfterSeconds(String response) {
        return Double.parseDouble(
                response.toLowerCase(Locale.ROOT).split("retry-after: ")[1].split("\\r\\n")[0]);
    }

    private static CrashingFleet startFleet(boolean engine, CrashingFleet.Crash crash) throws Exception {
        return new CrashingFleet(FRONTS, TARGETS, engine, crash, CrashingFleet.Moment.BEFORE_RESPONSE, 0);
    }

    /** Guards against requests that are lost, or refused as suspects, because they ran beside such a request. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void harmlessRequestsAreServedBesideCrashingOnes(boolean engine) throws Exception {
        int crashingRequests = 5;
        int harmlessRequests = 40;
        try (CrashingFleet fleet = new CrashingFleet(
                FRONTS, TARGETS, engine, CrashingFleet.Crash.RESTARTED, CrashingFleet.Moment.BEFORE_RESPONSE, 100)) {
            List<Callable<String>> callers = new ArrayList<>();
            for (int i = 0; i < harmlessRequests; i++) {
                String path = "/safe/harmless" + i;
                int front = i % FRONTS;
                callers.add(() -> repeatUntilServed(fleet, front, path));
            }
            for (int i = 0; i < crashingRequests; i++) {
                String path = "/safe/crash" + i;
                int front = i % FRONTS;
                callers.add(() -> repeatUntilServed(fleet, front, path));
            }
            List<String> responses = callAll(callers);
            assertThat(responses.subList(0, harmlessRequests), everyItem(startsWith("HTTP/1.1 200")));
            for (int i = 0; i < crashingRequests; i++) {
                assertThat(fleet.crashes("crash" + i), lessThanOrEqualTo(MAX_CRASHES));
            }
        }
    }

    /** Guards against forgetting a run that is lost with the peer that relays it, whose target may have crashed too. */
    @Test
    void runThatEndsWithItsRelayIsRemembered() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        ExecutorService callers = Executors.newSingleThreadExecutor();
        try (CutFleet fleet = new CutFleet(
                FRONTS, List.of("v1", "v1"), false, 1, (request, socket) -> FrontFixture.awaitLatch(done))) {
            fleet.cut(0, CutLink.Cut.REFUSED);
            Future<String> response =
                    callers.submit(() -> fleet.front(0).exchange(FrontFixture.request("GET", "/safe/x", "a", true)));
            int[] relay = new int[1];
            FrontFixture.await(() -> {
                relay[0] = fleet.front(1).front().relayedConnections() > 0 ? 1 : 2;
                return fleet.front(relay[0]).front().relayedConnections() > 0
                        && fleet.targets().stream()
                                .anyMatch(target -> !target.requests().isEmpty());
            });
            fleet.front(relay[0]).kill();
            assertThat(response.get(), startsWith("HTTP/1.1 502"));
            int other = 3 - relay[0];
            for (int front : new int[] {0, other}) {
                FrontFixture.await(() -> lostRuns(fleet.front(front)) == 1);
            }
        } finally {
            done.countDown();
            callers.shutdownNow();
        }
    }

    private static int lostRuns(FrontFixture front) {
        int[] size = new int[1];
        front.run(() -> size[0] = front.front().crashes().ledger().size());
        return size[0];
    }

    /** Guards against counting a crash of many targets at once against the requests that ran there. */
    @Test
    void requestsOfTargetsThatCrashTogetherAreServed() throws Exception {
        int requests = 40;
        try (CrashingFleet fleet = new CrashingFleet(
                FRONTS, TARGETS, true, CrashingFleet.Crash.RESTARTED, CrashingFleet.Moment.BEFORE_RESPONSE, 600)) {
            List<Callable<String>> callers = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                // Half of the callers ask for the same.
                String path = "/safe/harmless" + i % (requests / 2);
                int front = i % FRONTS;
                callers.add(() -> repeatUntilServed(fleet, front, path));
            }
            callers.add(() -> {
                Thread.sleep(300);
                fleet.crashTargets(List.of(0, 1, 2, 3));
                Thread.sleep(300);
                fleet.crashTargets(List.of(4, 5, 6, 7));
                return "HTTP/1.1 200";
            });
            assertThat(callAll(callers), everyItem(startsWith("HTTP/1.1 200")));
        }
    }

    /** Guards against a coordinator that sends suspects of plain services to cold targets, whose shares others hold. */
    @Test
    void suspectsOfPlainServicesAreNotSentToColdTargets() throws Exception {
        int cold = 2;
        try (CrashingFleet fleet = new CrashingFleet(
                FRONTS, cold + 1, false, CrashingFleet.Crash.RESTARTED, CrashingFleet.Moment.BEFORE_RESPONSE, 600)) {
            fleet.fleet().publishCold(cold, 60_000);
            List<Callable<String>> callers = new ArrayList<>();
            for (int i = 0; i < 2 * FRONTS; i++) {
                String path = "/safe/harmless" + i;
                int front = i % FRONTS;
                callers.add(() -> fleet.attempt(front, "GET", path));
            }
            callers.add(() -> {
                Thread.sleep(200);
                fleet.crashTargets(List.of(0, 1));
                return "";
            });
            callAll(callers);
            assertThat(fleet.fleet().targets().get(cold).requests(), everyItem(containsString("/health")));
        }
    }

    /** Repeats a request as callers do, a few times and at another front each time. */
    private static String repeatUntilServed(CrashingFleet fleet, int firstFront, String path)
            throws IOException, InterruptedException {
        String response = "";
        for (int i = 0; i < ATTEMPTS && !response.startsWith("HTTP/1.1 200"); i++) {
            response = fleet.attempt((firstFront + i) % FRONTS, "GET", path);
            Thread.sleep(ATTEMPT_INTERVAL_MILLIS);
        }
        return response;
    }

    private static List<String> callAll(List<Callable<String>> callers) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(callers.size());
        try {
            List<String> responses = new ArrayList<>();
            for (Future<String> response : executor.invokeAll(callers)) {
                responses.add(response.get());
            }
            return responses;
        } finally {
            executor.shutdownNow();
        }
    }
}
