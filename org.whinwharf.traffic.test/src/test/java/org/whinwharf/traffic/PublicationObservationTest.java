package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.stream.PublicationObservation;
import org.whinwharf.traffic.stream.StreamOrigins;

/** Tests which past a process knows. */
class PublicationObservationTest {
    private final PublicationObservation observation = new PublicationObservation(1_000);

    /** Guards against a process that has just started and takes the present for the past. */
    @Test
    void spanBeforeTheStartIsNotCovered() {
        assertThat(observation.covers(500, 1_400), is(false));
        assertThat(observation.covers(500, 1_500), is(true));
    }

    /** Guards against a gap, as after a freeze, that is taken for observation. */
    @Test
    void gapBeginsTheObservationAnew() {
        observation.beginWithFleet();
        assertThat(observation.covers(Long.MAX_VALUE / 4, 1_000), is(true));
        observation.begin(2_000);
        assertThat(observation.covers(500, 2_400), is(false));
    }

    /** Guards against a history that shortens what is known, and against one that counts after a gap. */
    @Test
    void historyExtendsTheObservationUntilTheNextGap() {
        observation.extendBack(1_200);
        assertThat(observation.covers(500, 1_500), is(true));
        assertThat(observation.dependsOnHistory(500, 1_500), is(false));
        observation.extendBack(-4_000);
        assertThat(observation.covers(5_000, 1_000), is(true));
        assertThat(observation.dependsOnHistory(5_000, 1_000), is(true));
        observation.begin(1_500);
        assertThat(observation.covers(500, 1_600), is(false));
        assertThat(observation.dependsOnHistory(500, 1_600), is(false));
    }

    /** Guards against limits of the history that bind a process which has observed everything itself for long. */
    @Test
    void historyIsNotNeededForWhatWasObserved() {
        observation.extendBack(-4_000);
        assertThat(observation.dependsOnHistory(500, 1_400), is(true));
        assertThat(observation.dependsOnHistory(500, 1_500), is(false));
    }

    /** Guards against asking for a longer past than a stream can have, or for a shorter one. */
    @Test
    void streamIsNoOlderThanTheTimeLimitOfItsCaller() {
        assertThat(StreamOrigins.maxAgeMillis(1_000), is(20_000L));
        assertThat(StreamOrigins.maxAgeMillis(10_000), is(20_000L));
        assertThat(StreamOrigins.maxAgeMillis(12_000), is(24_000L));
        assertThat(StreamOrigins.maxAgeMillis(60_000), is(StreamOrigins.RETENTION_MILLIS));
    }
}
