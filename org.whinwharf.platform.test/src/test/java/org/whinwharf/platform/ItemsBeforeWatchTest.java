package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.whinwharf.front.Front;
import org.whinwharf.platform.fleet.StoreStandIn;

/** Tests a front to which peers send the published items before its own watch of the store begins. */
class ItemsBeforeWatchTest {
    /** Time limit for applying a change. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** Time limit for what only prepares the test. */
    private static final long START_LIMIT_MILLIS = 10_000;

    private static final long POLL_MILLIS = 10;
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\","
            + "\"kind\":\"safe\",\"timeout-ms\":900,\"slo-ms\":100,\"service\":\"s\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health-path\":\"/healthz\"}],\"limits\":{},\"tenants\":[]}";

    private final String network = "127."
            + ThreadLocalRandom.current().nextInt(1, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";

    /** Guards against items that never come into force because peers sent them before the watch of the store began. */
    @Test
    void itemsThatPeersSendBeforeTheWatchBeginsComeIntoForce() throws Exception {
        Front peer = LocalFront.create("peer", network + "1", List.of(), false);
        Front late = LocalFront.create("late", network + "2", List.of(network + "1"), false);
        try (StoreStandIn store = new StoreStandIn(network + "250", 0)) {
            store.start();
            store.put("op/config", CONFIG);
            peer.start();
            new StoreWatch(peer, store.address(), 0).start();
            assertThat("peer ready", await(peer::ready, START_LIMIT_MILLIS), is(true));
            late.start();
            assertThat("items of the peer", await(() -> late.feed().revision() > 0, START_LIMIT_MILLIS), is(true));
            new StoreWatch(late, store.address(), 0).start();
            assertThat("ready with the configuration", await(late::ready, APPLY_LIMIT_MILLIS), is(true));
        } finally {
            peer.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
            late.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        }
    }

    private static boolean await(BooleanSupplier condition, long limitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return true;
    }
}
