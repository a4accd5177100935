package org.whinwharf.bench.dedupe;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** Command line of the comparison of dedupe windows. */
@Command(name = "dedupe-windows", description = "Compares two ways to remember which requests were seen")
public final class DedupeCommand implements Runnable {
    private static final int[] HOSTS = {7, 410};
    private static final double[] REQUESTS_PER_TICKET = {2, 20, 200};
    // Active and older slices of the filters that are compared.
    private static final int[][] SLICES = {{7, 5}, {10, 7}, {14, 11}};
    private static final int MAX_RANGES = 64;
    private static final int COLLECTIONS = 4;
    private static final double HOUR_SECONDS = 3600;

    @Option(name = "--homes", title = "N", description = "Homes that are played, each with a seed of its own")
    private int homes = 7;

    @Option(name = "--hours", title = "N", description = "Time that each home is played")
    private double hours = 24;

    @Option(name = "--rate", title = "N", description = "Requests a second of one home")
    private double rate = 8;

    @Option(name = "--lost", title = "SHARE", description = "Share of numbers that never come")
    private double lost = 0.005;

    @Option(name = "--burst", title = "F", description = "By how much more comes in one minute of each hour")
    private double burst = 1;

    @Option(name = "--seed", title = "N", description = "First seed")
    private long seed = 1;

    @Override
    public void run() {
        System.out.println(
                "| hosts | requests per ticket | memory | bytes per request held | of the heap | fresh requests |"
                        + " refused wrongly | repeats | repeats let through |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        warmUp();
        for (int hosts : HOSTS) {
            for (double perTicket : REQUESTS_PER_TICKET) {
                compare(new DedupeScenario(hosts, 80, rate, perTicket, 600, lost, 0.02, 20, burst));
            }
        }
    }

    /** Loads what the first run would load, so that it is not taken for a memory's share of the heap. */
    private void warmUp() {
        DedupeScenario scenario = new DedupeScenario(HOSTS[0], 80, rate, 20, 600, lost, 0.02, 20, burst);
        memories(scenario).values().forEach(memory -> {
            List<DedupeMemory> left = new ArrayList<>();
            left.add(memory.get());
            new DedupeRun(scenario, memory, seed).call(HOUR_SECONDS);
            heapBytes(left);
        });
    }

    private void compare(DedupeScenario scenario) {
        memories(scenario).forEach((name, memory) -> {
            DedupeRun.Tally sum = new DedupeRun.Tally();
            List<DedupeMemory> left = new ArrayList<>();
            long held = play(scenario, memory, sum, left);
            print(scenario, name, sum, (double) heapBytes(left) / held);
        });
    }

    /** Plays all homes and returns how many requests the memories that are left hold. */
    private long play(
            DedupeScenario scenario, Supplier<DedupeMemory> memory, DedupeRun.Tally sum, List<DedupeMemory> left) {
        long held = 0;
        for (int home = 0; home < homes; home++) {
            DedupeRun run = new DedupeRun(scenario, memory, seed + home);
            sum.add(run.call(hours * HOUR_SECONDS));
            left.add(run.memory());
            held += run.held();
        }
        return held;
    }

    private static Map<String, Supplier<DedupeMemory>> memories(DedupeScenario scenario) {
        Map<String, Supplier<DedupeMemory>> memories = new LinkedHashMap<>();
        memories.put("interval and stragglers", () -> new IntervalMemory(MAX_RANGES));
        for (int[] slices : SLICES) {
            String name = "filter, k=%d, l=%d".formatted(slices[0], slices[1]);
            int keys = scenario.requestsPerTicketTime();
            memories.put(name, () -> new FilterMemory(new AgePartitionedFilter(slices[0], slices[1], keys)));
        }
        return memories;
    }

    /** Returns what the memories take of the heap, and lets go of them. */
    private static long heapBytes(List<DedupeMemory> memories) {
        long with = usedBytes();
        memories.clear();
        return with - usedBytes();
    }

    private static long usedBytes() {
        // The serial collector leaves some dead objects in place and compacts wholly in every fourth collection only.
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void print(DedupeScenario scenario, String name, DedupeRun.Tally sum, double heapBytes) {
        System.out.println("| %d | %.0f | %s | %.2f | %.1f | %d | %s | %d | %d |"
                .formatted(
                        scenario.hosts(),
                        scenario.requestsPerTicket(),
                        name,
                        sum.bytesPerRequestHeld(),
                        heapBytes,
                        sum.fresh,
                        share(sum.refusedWrongly, sum.fresh),
                        sum.repeats,
                        sum.repeatsLetThrough));
    }

    private static String share(long part, long whole) {
        return part == 0 ? "0" : String.format(Locale.ROOT, "%d (%.1e)", part, (double) part / whole);
    }
}
