package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.front.Front;
import org.whinwharf.platform.fleet.BrokenStream;
import org.whinwharf.platform.fleet.DeployedFleet;
import org.whinwharf.platform.fleet.StoreFault;
import org.whinwharf.platform.fleet.StoreStandIn;
import org.whinwharf.platform.fleet.StreamWorker;
import org.whinwharf.traffic.items.PublishedValue;

/** Tests which streams go on at a front that was started anew and reads the store's history. */
class StoreWatchHistoryTest {
    private static final long HISTORY_MILLIS = 20_000;
    private static final long LONG_AGO_MILLIS = TimeUnit.HOURS.toMillis(1);
    /** Time for which the store refuses calls while a stream is resumed. */
    private static final long UNREADABLE_MILLIS = 200;
    /** Time in which a stream is refused although the history does not come. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    private static final String READY = "ready";
    private static final String PATH = "/r/a";
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\","
            + "\"kind\":\"streaming\",\"resumable\":true,\"gap-target-ms\":300,\"timeout-ms\":10000,\"slo-ms\":300,"
            + "\"service\":\"s\",\"attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health-path\":\"/healthz\"}],\"limits\":{},\"tenants\":[]}";

    private final String network = "127."
            + ThreadLocalRandom.current().nextInt(1, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final String ip = network + "1";
    private final StoreStandIn store = new StoreStandIn(ip, 0);
    private final StreamWorker worker =
            new StreamWorker("i-1", "s", "v1", network + "2", System.currentTimeMillis() - LONG_AGO_MILLIS);
    private Front front;
    private int attempts;

    @BeforeEach
    void startStore() {
        store.start();
        worker.start();
        store.put("op/config", CONFIG);
        store.put(worker.key(), worker.entry(READY));
        store.discardHistory();
    }

    private void startFront() throws Exception {
        startFront(false);
    }

    private void startFront(boolean freshFleet) throws Exception {
        front = LocalFront.create("front", ip, List.of(), freshFleet);
        front.start();
        new StoreWatch(front, store.address(), HISTORY_MILLIS).start();
    }

    @AfterEach
    void stop() {
        front.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        store.stop();
        worker.stop();
    }

    /** Guards against a front that never reads the history because a peer's copy comes before the store's. */
    @Test
    void streamOfTheOnlyVersionGoesOnIfTheFirstCopyIsOfAPeer() throws Exception {
        startFront();
        applyPeerCopy();
        assertThat(
                "went on before the front has watched for long", resumed("v1").wentOn(), is(true));
    }

    /** Guards against refusing streams right after a start though the history is about to show that they may go on. */
    @Test
    void streamWaitsForTheHistory() throws Exception {
        store.begin(StoreFault.BUSY);
        startFront();
        applyPeerCopy();
        CompletableFuture<BrokenStream> resumed = CompletableFuture.supplyAsync(() -> resumeOnce("v1"));
        TimeUnit.MILLISECONDS.sleep(UNREADABLE_MILLIS);
        store.endFaults();
        assertThat("went on", resumed.get().wentOn(), is(true));
    }

    /** Guards against streams that are held for long though the history cannot be read. */
    @Test
    void streamIsRefusedIfTheHistoryDoesNotCome() throws Exception {
        store.begin(StoreFault.BUSY);
        startFront();
        applyPeerCopy();
        long beganAtNanos = System.nanoTime();
        assertThat("status", resumeOnce("v1").status(), is(HttpResponseStatus.SERVICE_UNAVAILABLE.code()));
        assertThat(System.nanoTime() - beganAtNanos, lessThan(TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS)));
    }

    /** Guards against refusing all streams because a worker has started, though the history shows that it is new. */
    @Test
    void streamOfTheOnlyVersionGoesOnThoughAWorkerHasStarted() throws Exception {
        store.put("servers/i-2", describe("i-2", "v1", 0).entry(READY));
        startFront();
        assertThat(
                "went on before the front has watched for long", resumed("v1").wentOn(), is(true));
    }

    /** Guards against refusing all streams because something left that was no entry of a worker at any time. */
    @Test
    void streamOfTheOnlyVersionGoesOnThoughAnOddEntryWasRemoved() throws Exception {
        store.put("servers/odd", "{");
        store.remove("servers/odd");
        startFront();
        assertThat(
                "went on before the front has watched for long", resumed("v1").wentOn(), is(true));
    }

    /** Guards against the version of a worker that was started anew with another one under its id, and has left. */
    @Test
    void streamOfAWorkerThatWasStartedAnewAndLeftIsNotJoined() throws Exception {
        store.put("servers/i-2", describe("i-2", "v2", LONG_AGO_MILLIS).entry(READY));
        store.discardHistory();
        store.put("servers/i-2", describe("i-2", "v1", 0).entry(READY));
        store.remove("servers/i-2");
        startFront();
        assertThat("mixed", resumed("v2").mixed(), is(false));
    }

    /** Guards against a route whose timeout was shortened after the stream began. */
    @Test
    void streamIsNotJoinedIfTheTimeoutOfItsRouteWasShortened() throws Exception {
        store.put("servers/i-2", describe("i-2", "v2", LONG_AGO_MILLIS).entry(READY));
        store.remove("servers/i-2");
        store.put("op/config", CONFIG.replace("\"version\":1", "\"version\":2").replace("10000", "1000"));
        startFront();
        assertThat("mixed", resumed("v2").mixed(), is(false));
    }

    /** Guards against a route that led to another service when the stream began. */
    @Test
    void streamIsNotJoinedIfItsRouteWasMovedToAnotherService() throws Exception {
        store.put(
                "servers/i-2",
                describe("i-2", "v2", LONG_AGO_MILLIS).entry(READY).replace("\"s\"", "\"t\""));
        String both = CONFIG.replace("\"services\":[", "\"services\":[{\"name\":\"t\",\"health-path\":\"/healthz\"},");
        store.put(
                "op/config",
                both.replace("\"version\":1", "\"version\":2").replace("\"service\":\"s\"", "\"service\":\"t\""));
        store.discardHistory();
        store.put("op/config", both.replace("\"version\":1", "\"version\":3"));
        startFront();
        assertThat("mixed", resumed("v2").mixed(), is(false));
    }

    /** Guards against a front that has watched all the while, and saw the route lead to another service. */
    @Test
    void streamIsNotJoinedIfTheFrontSawItsRouteMoved() throws Exception {
        store.put("op/config", bothServices(2, "t"));
        startFront(true);
        awaitItems();
        store.put("op/config", bothServices(3, "s"));
        awaitItems();
        assertThat("mixed", resumed("v2").mixed(), is(false));
    }

    /** Guards against refusing streams after a change of the configuration that did not move their route. */
    @Test
    void streamGoesOnIfTheFrontSawAChangeThatDidNotMoveItsRoute() throws Exception {
        startFront(true);
        awaitItems();
        store.put("op/config", bothServices(2, "s"));
        awaitItems();
        assertThat("went on", resumed("v1").wentOn(), is(true));
    }

    /** Waits until the front has applied all items of the store. */
    private void awaitItems() {
        DeployedFleet.await(
                "items",
                () -> front.loop()
                        .submit(() -> front.feed().revision() == store.revision())
                        .syncUninterruptibly()
                        .getNow());
    }

    /** Returns a configuration with two services, whose route leads to one of them. */
    private static String bothServices(int version, String service) {
        return CONFIG.replace("\"services\":[", "\"services\":[{\"name\":\"t\",\"health-path\":\"/healthz\"},")
                .replace("\"version\":1", "\"version\":" + version)
                .replace("\"service\":\"s\"", "\"service\":\"" + service + "\"");
    }

    private StreamWorker describe(String id, String version, long ageMillis) {
        return new StreamWorker(id, "s", version, network + "3", System.currentTimeMillis() - ageMillis);
    }

    private void applyPeerCopy() {
        front.loop()
                .submit(() -> front.feed()
                        .applySnapshot(
                                List.of(
                                        value("op/config", CONFIG, store.revision() - 1),
                                        value(worker.key(), worker.entry(READY), store.revision())),
                                store.revision()))
                .syncUninterruptibly();
    }

    private static PublishedValue value(String key, String text, long revision) {
        return new PublishedValue(key, text.getBytes(StandardCharsets.UTF_8), revision);
    }

    private BrokenStream resumeOnce(String version) {
        attempts++;
        return BrokenStream.begun(PATH, "before", version)
                .call(new InetSocketAddress(ip, LocalFront.CALLER_PORT), "attempt" + attempts, true);
    }

    /** Resumes a stream until it goes on, or for half of the time after which the front needs no history. */
    private BrokenStream resumed(String version) {
        AtomicReference<BrokenStream> last = new AtomicReference<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HISTORY_MILLIS / 2);
        DeployedFleet.await("stream", () -> {
            last.set(resumeOnce(version));
            return last.get().complete() || System.nanoTime() > endNanos;
        });
        return last.get();
    }
}
