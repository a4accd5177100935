package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.target.ImmutableTarget;
import org.whinwharf.traffic.target.TargetState;

class SilenceWatchTest {
    private static final long OBJECTIVE_MILLIS = 500;

    private final TargetEntry entry = new TargetEntry(new TargetState(target()), null);

    /**
     * A request waits behind three long prompts at a slow engine, which takes nearly a second for them, as predicted.
     * If the engine counted as hung after two seconds, it would be ejected and the request prefilled again elsewhere.
     */
    @Test
    void engineWithSlowPredictionMayBeSilentForLonger() {
        SilenceWatch watch = new SilenceWatch(OBJECTIVE_MILLIS, 900, 0);
        assertThat(watch.targetBecameSilent(entry, false, 2_500), is(false));
        assertThat(watch.requestStalled(false, 2_500), is(false));
        assertThat(watch.requestStalled(false, 3_601), is(true));
    }

    @Test
    void silenceIsReportedOnce() {
        SilenceWatch watch = new SilenceWatch(OBJECTIVE_MILLIS, 100, 0);
        assertThat(watch.targetBecameSilent(entry, false, 2_000), is(false));
        assertThat(watch.targetBecameSilent(entry, false, 2_001), is(true));
        assertThat(watch.targetBecameSilent(entry, false, 2_100), is(false));
    }

    /** Guards against finding out only after the silence timeout whether a silent target can be reached at all. */
    @Test
    void targetIsCheckedOnceBeforeItCountsAsSilent() {
        SilenceWatch watch = new SilenceWatch(OBJECTIVE_MILLIS, 100, 0);
        assertThat(watch.targetNeedsCheck(entry, false, 1_600), is(false));
        assertThat(watch.targetNeedsCheck(entry, false, 1_601), is(true));
        assertThat(watch.targetNeedsCheck(entry, false, 1_700), is(false));
        assertThat(watch.targetBecameSilent(entry, false, 1_700), is(false));
    }

    /**
     * The target sends bytes for another request of this front: this request may be stalled, but the target is healthy.
     */
    @Test
    void targetThatAnswersAnotherRequestIsNotSilent() {
        SilenceWatch watch = new SilenceWatch(OBJECTIVE_MILLIS, 100, 0);
        entry.bytesReceived(1_900);
        assertThat(watch.targetBecameSilent(entry, false, 2_500), is(false));
        assertThat(watch.requestStalled(false, 2_500), is(true));
    }

    private static ImmutableTarget target() {
        return ImmutableTarget.builder()
                .id("t")
                .service("s")
                .ip("10.0.0.1")
                .port(8_000)
                .version("v1")
                .dataCentre("z")
                .slots(4)
                .draining(false)
                .coldRemainingMillis(0)
                .startedUnixMillis(1)
                .build();
    }
}
