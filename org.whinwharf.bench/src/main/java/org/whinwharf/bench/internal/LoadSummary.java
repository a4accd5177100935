package org.whinwharf.bench.internal;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.whinwharf.bench.history.HistoryEntry;

/** Counts and histograms of a load. */
final class LoadSummary {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1e3;

    private final Map<String, Tally> tiers = new TreeMap<>();
    private final Map<String, Tally> kinds = new TreeMap<>();
    private final Map<String, Integer> errors = new TreeMap<>();
    private final Map<String, Histogram> firstTokens = new TreeMap<>();
    private final Histogram tokenGaps = new Histogram(DIGITS);
    private int attempts;
    private int resumes;

    private static final class Tally {
        private int offered;
        private int whole;
        private int inTime;
        private int notRun;
        private final Histogram answerMillis = new Histogram(DIGITS);
    }

    /**
     * What became of the requests of one tier or kind.
     *
     * @param offered requests that callers wanted done
     * @param whole those with a whole answer
     * @param inTime those with a whole answer within the deadline
     * @param notRun those whose last attempt was told that it did not run
     * @param inTimePerSecond whole answers within the deadline, a second
     * @param answerMillis time to a whole answer, all attempts included
     */
    record TallyJson(
            int offered, int whole, int inTime, int notRun, double inTimePerSecond, PercentilesJson answerMillis) {}

    /**
     * Percentiles of a histogram.
     *
     * @param count values
     * @param p50 median
     * @param p95 95th percentile
     * @param p99 99th percentile
     */
    record PercentilesJson(long count, double p50, double p95, double p99) {}

    /**
     * The whole summary.
     *
     * @param seconds how long requests were sent
     * @param attempts attempts in all
     * @param resumes answers that went on over another connection
     * @param byTier by name of the tier
     * @param byKind by name of the kind
     * @param errors attempts by error, {@code broken} among them
     * @param firstTokenMillis time to the first token, by kind
     * @param tokenGapMillis time between two tokens
     */
    record SummaryJson(
            double seconds,
            int attempts,
            int resumes,
            Map<String, TallyJson> byTier,
            Map<String, TallyJson> byKind,
            Map<String, Integer> errors,
            Map<String, PercentilesJson> firstTokenMillis,
            PercentilesJson tokenGapMillis) {}

    synchronized void firstToken(Plan plan, long micros) {
        firstTokens
                .computeIfAbsent(plan.kind().name(), name -> new Histogram(DIGITS))
                .recordValue(micros);
    }

    synchronized void tokenGap(long micros) {
        tokenGaps.recordValue(micros);
    }

    synchronized void attempt(HistoryEntry entry) {
        attempts++;
        resumes += entry.resumes();
        switch (entry.outcome()) {
            case ERROR -> errors.merge(entry.error(), 1, Integer::sum);
            case BROKEN -> errors.merge("broken", 1, Integer::sum);
            default -> {
                // A whole answer is counted with its intent.
            }
        }
    }

    synchronized void intent(Plan plan, long firstSentMillis, HistoryEntry last) {
        count(tiers.computeIfAbsent(plan.caller().tier(), name -> new Tally()), plan, firstSentMillis, last);
        count(kinds.computeIfAbsent(plan.kind().name(), name -> new Tally()), plan, firstSentMillis, last);
    }

    synchronized SummaryJson json(double seconds) {
        Map<String, PercentilesJson> first = new TreeMap<>();
        firstTokens.forEach((name, histogram) -> first.put(name, percentiles(histogram, MICROS_PER_MILLI)));
        return new SummaryJson(
                seconds,
                attempts,
                resumes,
                tallies(tiers, seconds),
                tallies(kinds, seconds),
                errors,
                first,
                percentiles(tokenGaps, MICROS_PER_MILLI));
    }

    private static void count(Tally tally, Plan plan, long firstSentMillis, HistoryEntry last) {
        tally.offered++;
        tally.notRun += last.ran().equals("not-run") ? 1 : 0;
        if (last.outcome() == HistoryEntry.Outcome.WHOLE) {
            long tookMillis = last.endMillis() - firstSentMillis;
            tally.whole++;
            tally.inTime += tookMillis <= plan.kind().deadlineMillis() ? 1 : 0;
            tally.answerMillis.recordValue(Math.max(0, tookMillis));
        }
    }

    private static Map<String, TallyJson> tallies(Map<String, Tally> tallies, double seconds) {
        Map<String, TallyJson> json = new TreeMap<>();
        tallies.forEach((name, tally) -> json.put(
                name,
                new TallyJson(
                        tally.offered,
                        tally.whole,
                        tally.inTime,
                        tally.notRun,
                        tally.inTime / seconds,
                        percentiles(tally.answerMillis, 1))));
        return json;
    }

    private static PercentilesJson percentiles(Histogram histogram, double unit) {
        return new PercentilesJson(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / unit,
                histogram.getValueAtPercentile(95) / unit,
                histogram.getValueAtPercentile(99) / unit);
    }
}
