package org.whinwharf.bench.ownership;

import java.util.List;
import java.util.Locale;
import org.whinwharf.owner.pledge.Share;

/** Prints which part of a target's limit can be used, on a quiet day and after a host dies. */
public final class OwnershipMeasure {
    private static final List<Integer> HOSTS = List.of(7, 410);
    private static final List<Integer> LIMITS = List.of(1, 4, 16);
    private static final List<Long> AFTER_MILLIS = List.of(1_000L, 2_000L, 3_000L, 4_000L, 6_000L, 8_000L);
    private static final long WATCHED_MILLIS = 10_000;
    private static final int OWNER = 0;
    private static final int VOTER = 1;

    private OwnershipMeasure() {}

    /**
     * Runs all cases.
     *
     * @param arguments not used
     */
    public static void main(String... arguments) {
        for (int hosts : HOSTS) {
            for (int limit : LIMITS) {
                heading(hosts, limit);
                for (Ownership ownership : Ownership.values()) {
                    row(ownership, hosts, limit, "owner", OWNER);
                    row(ownership, hosts, limit, "voter", VOTER);
                }
            }
        }
        splits(3, 1);
        splits(9, 4);
    }

    private static void splits(int voters, int smaller) {
        System.out.printf("%nSplit of %d voters, %d on the smaller side%n%n", voters, smaller);
        System.out.println("| way | limit | larger side | smaller side | together |");
        System.out.println("|---|---|---|---|---|");
        for (Ownership ownership : Ownership.values()) {
            for (int limit : LIMITS) {
                split(ownership, limit, voters, smaller);
            }
        }
    }

    // Without pledges each side's list decides; once the lists of both sides lack the other's hosts, both own the
    // whole.
    private static void split(Ownership ownership, int limit, int voters, int smaller) {
        int more = ownership.rule() == null
                ? limit
                : new Share(voters - smaller, voters).usableSlots(limit, ownership.rule());
        int less = ownership.rule() == null ? limit : new Share(smaller, voters).usableSlots(limit, ownership.rule());
        System.out.printf("| %s | %d | %d | %d | %d |%n", ownership.label(), limit, more, less, more + less);
    }

    private static void heading(int hosts, int limit) {
        System.out.printf("%n%d hosts, limit %d%n%n", hosts, limit);
        StringBuilder line = new StringBuilder("| way | who dies | quiet |");
        StringBuilder rule = new StringBuilder("|---|---|---|");
        for (long afterMillis : AFTER_MILLIS) {
            line.append(" +").append(afterMillis / 1000).append(" s |");
            rule.append("---|");
        }
        System.out.println(line.append(" seconds lost |"));
        System.out.println(rule.append("---|"));
    }

    private static void row(Ownership ownership, int hosts, int limit, String who, int candidate) {
        SliceRun run = new SliceRun(ownership, hosts, limit);
        while (run.nowMillis() < SliceRun.SETTLED_MILLIS) {
            run.step();
        }
        StringBuilder line = new StringBuilder("| " + ownership.label() + " | " + who + " |" + percent(run.usable()));
        double before = run.usable();
        run.kill(candidate);
        double lostMillis = 0;
        for (long afterMillis = 0; afterMillis < WATCHED_MILLIS; afterMillis += SliceRun.STEP_MILLIS) {
            run.step();
            lostMillis += (before - run.usable()) * SliceRun.STEP_MILLIS;
            if (AFTER_MILLIS.contains(afterMillis + SliceRun.STEP_MILLIS)) {
                line.append(percent(run.usable()));
            }
        }
        System.out.println(line.append(String.format(Locale.ROOT, " %.1f |", lostMillis / 1000)));
    }

    private static String percent(double part) {
        return String.format(Locale.ROOT, " %.0f%% |", part * 100);
    }
}
