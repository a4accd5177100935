package org.whinwharf.bench.capacity;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Prints what one coordinator's decisions take at the size of the largest fleet played, under one and a half its load.
 */
public final class CoordinatorMeasure {
    private static final int FRONTS = 82;
    private static final int ENGINES = 42;
    private static final int SLOTS = 10;
    private static final double ASKS_PER_SECOND = 800;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long RUN_MILLIS = 60_000;
    private static final double MICRO = 1_000;

    private CoordinatorMeasure() {}

    /**
     * Measures and prints.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        CoordinatorLoad load = new CoordinatorLoad(FRONTS, ENGINES, SLOTS, ASKS_PER_SECOND);
        load.run(WARM_UP_MILLIS);
        load.forgetTimes();
        long startNanos = Meter.cpuNanos();
        load.run(RUN_MILLIS);
        double share = (Meter.cpuNanos() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS);
        print("| step | times | p50, µs | p99, µs | p99.9, µs |");
        print("|---|---|---|---|---|");
        row("ask", load.askNanos());
        row("progress", load.progressNanos());
        row("look at the line", load.lookNanos());
        row("list of a front", load.listNanos());
        print(
                "%d fronts, %d engines, %.0f asks/s: %.1f %% of a core, %d granted, %d refused",
                FRONTS, ENGINES, ASKS_PER_SECOND, share * 100, load.granted(), load.refused());
    }

    private static void row(String step, Histogram nanos) {
        print(
                "| %s | %d | %.1f | %.1f | %.1f |",
                step,
                nanos.getTotalCount(),
                nanos.getValueAtPercentile(50) / MICRO,
                nanos.getValueAtPercentile(99) / MICRO,
                nanos.getValueAtPercentile(99.9) / MICRO);
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
