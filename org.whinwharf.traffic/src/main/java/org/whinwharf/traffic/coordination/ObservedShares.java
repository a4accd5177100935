package org.whinwharf.traffic.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;
import org.whinwharf.traffic.share.OrganisationShares;

/**
 * Charges the runs that other processes have started to their organisations, from the lists of requests in flight. Each
 * list stands for the time since the one before: a run that holds a slot for a tenth of it is in every tenth list, so
 * that the charges of many runs come to their slot time. A process that becomes the coordinator therefore knows the use
 * of the last seconds.
 */
final class ObservedShares {
    /** Time that the first list of a process stands for: the interval of the lists. */
    private static final long FIRST_PERIOD_MILLIS = 1_000;
    /** Maximum time that a list stands for, when lists before it were lost. */
    private static final long MAX_PERIOD_MILLIS = 2_000;

    private final OrganisationShares shares;
    /** Times of the last lists in milliseconds, by process and number of the part. */
    private final Map<String, Map<Integer, Long>> lastListAtMillis = new HashMap<>();

    ObservedShares(OrganisationShares shares) {
        this.shares = shares;
    }

    /** Charges the runs of a list of one process, except those that were charged when they were granted here. */
    void record(
            String process,
            RunListPart part,
            Map<Long, RunningRequests.Run> runs,
            LongPredicate grantedHere,
            long nowMillis) {
        Long previousAtMillis = lastListAtMillis
                .computeIfAbsent(process, name -> new HashMap<>())
                .put(part.number(), nowMillis);
        long periodMillis = previousAtMillis == null
                ? FIRST_PERIOD_MILLIS
                : Math.min(MAX_PERIOD_MILLIS, nowMillis - previousAtMillis);
        runs.forEach((id, run) -> {
            if (run.organisationDigest() != 0 && !grantedHere.test(id)) {
                shares.observe(run.tierRank(), run.organisationDigest(), periodMillis, nowMillis);
            }
        });
    }

    /** Forgets a process that has stopped reporting. */
    void forget(String process) {
        lastListAtMillis.remove(process);
    }
}
