package org.whinwharf.bench.capacity;

import java.util.Locale;
import org.whinwharf.membership.Membership;

/** Prints the slopes from which docs/CAPACITY.md is worked out. */
public final class Capacity {
    private static final long SETTLE_MILLIS = 60_000;
    private static final long RUN_MILLIS = 120_000;
    private static final long WARM_UP_MILLIS = 60_000;

    private Capacity() {}

    /**
     * Measures and prints.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        membership();
        scheduler();
    }

    private static void membership() {
        print("| hosts | targets | view, KiB | built in, ms | list in JSON, KiB |");
        print("|---|---|---|---|---|");
        for (Size size : Size.ALL) {
            long bytes = Meter.retainedBytes(() -> ordered(size));
            long startNanos = Meter.cpuNanos();
            ordered(size);
            double millis = (Meter.cpuNanos() - startNanos) / 1e6;
            long listBytes = size.hostList().getSerializedSize();
            print(
                    "| %d | %d | %d | %.1f | %d (binary) |",
                    size.hosts(), size.targets(), bytes / 1024, millis, listBytes / 1024);
        }
    }

    private static Membership ordered(Size size) {
        Membership membership = size.membership();
        membership.slices().forEach(membership::candidates);
        return membership;
    }

    private static void scheduler() {
        print("");
        print("| hosts | targets | slices | slices of the hottest owner | its requests/s | granted | refused |"
                + " CPU per request, µs | CPU at rest, % of a core | CPU under load, % | bytes per request |"
                + " frames per request | bytes/s at rest | bytes/s under load | state, KiB |");
        print("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (Size size : Size.ALL) {
            schedulerRow(size);
        }
    }

    private static void schedulerRow(Size size) {
        Membership membership = size.membership();
        String host = SchedulerLoad.hottest(size, membership);
        long before = Meter.liveBytes();
        SchedulerLoad load = new SchedulerLoad(size, membership, host);
        load.settle(SETTLE_MILLIS);
        long restNanos = load.run(RUN_MILLIS, 0);
        double restBytes = load.bytes() * 1000.0 / RUN_MILLIS;
        double rate = load.requestsPerSecond();
        load.run(WARM_UP_MILLIS, rate);
        long busyNanos = load.run(RUN_MILLIS, rate);
        long state = Meter.liveBytes() - before;
        double busyBytes = load.bytes() * 1000.0 / RUN_MILLIS;
        long requests = Math.max(1, load.requests());
        print(
                "| %d | %d | %d | %d | %.0f | %d | %d | %.1f | %.2f | %.2f | %.0f | %.1f | %.0f | %.0f | %d |",
                size.hosts(),
                size.targets(),
                membership.slices().size(),
                load.ownedSlices(),
                rate,
                load.granted(),
                load.refused(),
                (busyNanos - restNanos) / 1e3 / requests,
                restNanos / 1e4 / RUN_MILLIS,
                busyNanos / 1e4 / RUN_MILLIS,
                (busyBytes - restBytes) * RUN_MILLIS / 1000 / requests,
                (double) load.frames() / requests,
                restBytes,
                busyBytes,
                state / 1024);
    }

    private static void print(String format, Object... values) {
        System.out.println(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
    }
}
