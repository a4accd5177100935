package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.target.ImmutableTarget;
import org.whinwharf.traffic.target.Target;

class TargetRegistryTest {
    private long nowMillis;

    /** Guards against a request that waits for a connection and is sent to the address that its target has left. */
    @Test
    void entryOfAFormerAddressReceivesNothing() throws IOException {
        try (FrontFixture front = new FrontFixture()) {
            front.publish("t", front.ip(), 9, 8);
            TargetEntry former = front.entry("t");
            assertThat(front.mayReceive(former), is(true));
            front.publish("t", front.ip(), 10, 8);
            assertThat(front.mayReceive(former), is(false));
            assertThat(front.mayReceive(front.entry("t")), is(true));
        }
    }

    /** Guards against one attempt at two versions, where targets of the older one were published long before. */
    @Test
    void versionOfTargetsThatWerePublishedLongAgoIsInUse() {
        TargetRegistry registry = new TargetRegistry(
                null, new TestDialect(), () -> nowMillis, Optional::empty, new FrontMetrics(), 0, false, () -> {});
        registry.trackRejectionLimits(
                new RejectionLimitTracker(null, null, new PeerDatagrams(null, null), () -> nowMillis, new Random(1)));
        registry.publish(target("t", "v1"), true, Long.MIN_VALUE);
        assertThat(registry.hasOneVersion("s"), is(true));
        nowMillis += StreamOrigins.RETENTION_MILLIS + 1;
        registry.sweep();
        registry.publish(target("u", "v2"), true, Long.MIN_VALUE);
        assertThat(registry.hasOneVersion("s"), is(false));
    }

    private static Target target(String id, String version) {
        return ImmutableTarget.builder()
                .id(id)
                .service("s")
                .ip("127.0.0.1")
                .port(1)
                .dataCentre("d")
                .slots(1)
                .draining(false)
                .coldRemainingMillis(0)
                .startedUnixMillis(1)
                .version(version)
                .build();
    }
}
