package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes before workers that live on and end streams in order between two events.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds of each kind, from {@code -Dwhinwharf.soak.first} on.
 */
class EarlyEndSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 1);
    private static final int MAX_PRINTED = 3;
    private static final Pattern END = Pattern.compile(
            "\"decision\":\"[a-z-]+\",\"event\":\"stream-end-judged\",\"reason\":\"[a-z-]+\"|\"stream-end-verified\"|\"verdict\":\"(cut|whole|unknown)\"");

    static Stream<Arguments> plays() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .boxed()
                .flatMap(seed -> Stream.of(StreamEnds.RARELY_UNDECLARED, StreamEnds.OFTEN_UNDECLARED)
                        .map(ends -> Arguments.of(ends, seed)));
    }

    /** Returns what fronts logged of streams without a declared end, with the number of such lines. */
    private static String judgedEnds(DeployedFleet fleet) {
        Map<String, Long> counts = new TreeMap<>();
        for (FrontProcess front : fleet.fronts()) {
            Matcher line = END.matcher(front.log());
            while (line.find()) {
                counts.merge(line.group().replaceAll("\"|event:", ""), 1L, Long::sum);
            }
        }
        return counts.toString();
    }

    /** Guards against streams that reach their callers as complete though workers, which live on, cut them. */
    @ParameterizedTest
    @MethodSource("plays")
    void streamsThatAreCutBetweenEventsDoNotLookComplete(StreamEnds ends, long seed) throws Exception {
        FleetHistory history;
        String judged;
        try (FleetPlay play = new FleetPlay(new Random(seed), ends)) {
            history = play.play();
            judged = judgedEnds(play.fleet());
        }
        List<String> breaches = FleetChecks.order(history);
        System.out.println(ends + ", " + FleetSummary.of(seed, history, breaches) + ", ends " + judged);
        assertThat(breaches.size() + " breaches", breaches.subList(0, Math.min(MAX_PRINTED, breaches.size())), empty());
    }
}
