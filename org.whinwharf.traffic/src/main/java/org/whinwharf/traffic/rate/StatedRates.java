package org.whinwharf.traffic.rate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntSupplier;
import org.whinwharf.traffic.target.TargetState;

/**
 * The rates of requests that targets state, and the requests that all processes dispatch to these targets.
 *
 * <p>Each request to such a target is counted once, by the process that decides on it: the coordinator that grants it,
 * or the process that places it without one. Every process passes on how many it has counted since its start, so that
 * the counts of all coordinators, earlier and concurrent ones, add up in each of them. Not thread-safe.
 */
public final class StatedRates {
    /** Lowest rate at which a target gets requests, since only its answers tell when it takes more. */
    public static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /** Time without a request after which a target is asked whether it still states a rate. */
    private static final long OVERDUE_MILLIS = 2_000;
    /** Time for which the end of a limit is kept, so that no older statement of a peer brings it back. */
    private static final long END_RETENTION_MILLIS = 20_000;
    /** Time after which a statement on a target that this process does not know is dropped. */
    private static final long UNKNOWN_RETENTION_MILLIS = 30_000;
    /**
     * Time without a decision after which a process has no tokens for decisions of its own. Processes that lose their
     * coordinator together would else all use what each has saved up.
     */
    private static final long LOCAL_IDLE_MILLIS = 500;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<Integer, String> idsByDigest = new HashMap<>();
    /** Number of limited targets of each service that has any. */
    private final Map<String, Integer> limitedByService = new HashMap<>();

    private int limitedTargets;

    /** Number of requests that a process has counted, since the process started. */
    private record Count(long incarnation, long total) {}

    private static final class Entry {
        private final TokenBucket ofFleet;
        private final TokenBucket ofProcess;
        private final Map<String, Count> countsOfPeers = new HashMap<>();
        private StatedRate rate;
        private long countedHere;
        private long lastDispatchAtMillis;
        private long lastLocalDecisionAtMillis;

        Entry(StatedRate rate, long nowMillis) {
            this.rate = rate;
            ofFleet = new TokenBucket(nowMillis);
            ofProcess = new TokenBucket(nowMillis);
            lastDispatchAtMillis = nowMillis;
        }

        private boolean limited() {
            return rate.statement().limited();
        }

        private double requestsPerSecond() {
            return Math.max(MIN_REQUESTS_PER_SECOND, rate.statement().requestsPerSecond());
        }

        private boolean hasToken(long nowMillis) {
            ofFleet.fill(requestsPerSecond(), nowMillis);
            return ofFleet.hasToken();
        }

        /** Tells whether this process may decide without a coordinator; each question keeps its own tokens coming. */
        private boolean hasLocalToken(int processes, long nowMillis) {
            if (nowMillis - lastLocalDecisionAtMillis > LOCAL_IDLE_MILLIS) {
                ofProcess.clear(nowMillis);
            }
            lastLocalDecisionAtMillis = nowMillis;
            ofProcess.fill(requestsPerSecond() / processes, nowMillis);
            return ofProcess.hasToken() && hasToken(nowMillis);
        }

        private void count(double requests, long nowMillis) {
            ofFleet.fill(requestsPerSecond(), nowMillis);
            ofFleet.take(requests, requestsPerSecond());
            lastDispatchAtMillis = nowMillis;
        }
    }

    /**
     * Applies what a target says in an answer to this process.
     *
     * @param said the answer's statement, with the time at which it was received
     * @param sentAtMillis monotonic time in milliseconds at which the request was sent; an answer without a rate ends
     *     only limits that were stated before, since it may have begun before them
     * @return true if the target states another rate than was known, so that peers are to be told
     */
    public boolean answered(StatedRate said, long sentAtMillis) {
        Entry entry = entries.get(said.targetId());
        boolean limited = said.statement().limited();
        if (!limited && (entry == null || !entry.limited() || sentAtMillis <= entry.rate.statedAtMillis())) {
            return false;
        }
        return apply(said, said.statedAtMillis());
    }

    /**
     * Applies what a peer has passed on.
     *
     * @param report statement of a target
     * @param nowMillis monotonic time in milliseconds
     * @return true if it changes the rate that was known
     */
    public boolean merge(StatedRate report, long nowMillis) {
        Entry entry = entries.get(report.targetId());
        boolean known = entry != null
                && (entry.rate.id() == report.id() || report.statedAtMillis() <= entry.rate.statedAtMillis());
        return !known && apply(report, nowMillis);
    }

    private boolean apply(StatedRate rate, long nowMillis) {
        Entry entry = entries.get(rate.targetId());
        if (entry == null) {
            entry = new Entry(rate, nowMillis);
            entries.put(rate.targetId(), entry);
            idsByDigest.put(rate.targetId().hashCode(), rate.targetId());
            if (entry.limited()) {
                limitedChanged(entry, 1);
            }
            return entry.limited();
        }
        boolean changed = !entry.rate.statement().equals(rate.statement());
        boolean wasLimited = entry.limited();
        entry.rate = rate;
        if (entry.limited() && !wasLimited) {
            limitedChanged(entry, 1);
            entry.ofFleet.clear(nowMillis);
            entry.lastDispatchAtMillis = nowMillis;
        } else if (!entry.limited() && wasLimited) {
            limitedChanged(entry, -1);
        } else if (changed) {
            entry.ofFleet.rateChanged(entry.requestsPerSecond());
        }
        return changed;
    }

    private void limitedChanged(Entry entry, int difference) {
        limitedTargets += difference;
        limitedByService.merge(
                entry.rate.service(), difference, (left, right) -> left + right == 0 ? null : left + right);
    }

    /**
     * Returns what is known of a target, also that a limit has ended.
     *
     * @param targetId id of the target
     * @return newest statement; empty if the target has stated no rate lately
     */
    public Optional<StatedRate> find(String targetId) {
        return Optional.ofNullable(entries.get(targetId)).map(entry -> entry.rate);
    }

    /**
     * Returns all that peers should know.
     *
     * @return newest statement of each target
     */
    public List<StatedRate> all() {
        return entries.values().stream().map(entry -> entry.rate).toList();
    }

    /**
     * Returns the rate that a target states.
     *
     * @param targetId id of the target
     * @return requests per second; empty if the target states none
     */
    public OptionalDouble rateOf(String targetId) {
        Entry entry = limitedTargets == 0 ? null : entries.get(targetId);
        return entry != null && entry.limited()
                ? OptionalDouble.of(entry.rate.statement().requestsPerSecond())
                : OptionalDouble.empty();
    }

    /**
     * Returns the number of targets that state a rate.
     *
     * @return number of targets
     */
    public int limitedTargets() {
        return limitedTargets;
    }

    /**
     * Returns the services with a target that states a rate.
     *
     * @return names
     */
    public Set<String> services() {
        return Collections.unmodifiableSet(limitedByService.keySet());
    }

    /**
     * Tells whether a target of a service states a rate.
     *
     * @param service name of the service
     * @return true if one does
     */
    public boolean limitsService(String service) {
        return limitedByService.containsKey(service);
    }

    /**
     * Counts a request that is sent to a target whatever its rate, such as a health check.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     */
    public void count(String targetId, long nowMillis) {
        Entry entry = limitedTargets == 0 ? null : entries.get(targetId);
        if (entry != null && entry.limited()) {
            entry.countedHere++;
            entry.count(1, nowMillis);
        }
    }

    /**
     * Returns the number of requests that this process has counted for each target that states a rate.
     *
     * @return totals since the limit became known, by the digests of the targets' ids
     */
    public Map<Integer, Long> countedTotals() {
        Map<Integer, Long> totals = new LinkedHashMap<>();
        entries.forEach((targetId, entry) -> {
            if (entry.limited() && entry.countedHere > 0) {
                totals.put(targetId.hashCode(), entry.countedHere);
            }
        });
        return totals;
    }

    /**
     * Counts what a peer has dispatched since its last report. Its first report tells only from where to count, as the
     * time of what it contains is not known.
     *
     * @param process name of the peer
     * @param incarnation number of the peer's start
     * @param targetDigest digest of the target's id
     * @param total requests that the peer has counted
     * @param nowMillis monotonic time in milliseconds
     */
    public void receiveTotal(String process, long incarnation, int targetDigest, long total, long nowMillis) {
        String targetId = idsByDigest.get(targetDigest);
        if (targetId == null) {
            return;
        }
        Entry entry = entries.get(targetId);
        Count before = entry.countsOfPeers.put(process, new Count(incarnation, total));
        if (before != null && before.incarnation() == incarnation && total > before.total()) {
            entry.count(total - before.total(), nowMillis);
        }
    }

    /**
     * Returns how long it takes until the targets of a service have taken a number of requests.
     *
     * @param targets targets of the service
     * @param requests number of requests
     * @param nowMillis monotonic time in milliseconds
     * @return time in milliseconds; 0 unless all targets in use state a rate
     */
    public long takenInMillis(Collection<TargetState> targets, int requests, long nowMillis) {
        if (limitedTargets == 0) {
            return 0;
        }
        double sumPerSecond = 0;
        for (TargetState state : targets) {
            if (state.usable(nowMillis)) {
                Entry entry = entries.get(state.target().id());
                if (entry == null || !entry.limited()) {
                    return 0;
                }
                sumPerSecond += entry.requestsPerSecond();
            }
        }
        return sumPerSecond == 0 ? 0 : Math.round(1_000 * requests / sumPerSecond);
    }

    /**
     * Drops what is known of a target that is gone.
     *
     * @param targetId id of the target
     */
    public void remove(String targetId) {
        Entry entry = entries.remove(targetId);
        if (entry != null) {
            idsByDigest.remove(targetId.hashCode());
            if (entry.limited()) {
                limitedChanged(entry, -1);
            }
        }
    }

    /**
     * Drops ends of limits, and statements on unknown targets, once they are old.
     *
     * @param knownTargetIds ids of all targets that are published
     * @param nowMillis monotonic time in milliseconds
     */
    public void expire(Set<String> knownTargetIds, long nowMillis) {
        List<String> expired = new ArrayList<>();
        entries.forEach((targetId, entry) -> {
            long ageMillis = nowMillis - entry.rate.statedAtMillis();
            boolean endedLongAgo = !entry.limited() && ageMillis > END_RETENTION_MILLIS;
            if (endedLongAgo || !knownTargetIds.contains(targetId) && ageMillis > UNKNOWN_RETENTION_MILLIS) {
                expired.add(targetId);
            }
        });
        expired.forEach(this::remove);
    }

    /**
     * Returns the admission by which a coordinator decides for all processes.
     *
     * @return admission
     */
    public RateAdmission ofCoordinator() {
        return new Admission() {
            @Override
            boolean admits(Entry entry, long nowMillis) {
                return entry.hasToken(nowMillis);
            }
        };
    }

    /**
     * Returns the admission by which a process decides for itself, without a coordinator that counts. All processes
     * together then stay within the rate.
     *
     * @param processes number of processes that may decide for themselves, this one included
     * @return admission
     */
    public RateAdmission ofProcess(IntSupplier processes) {
        return new Admission() {
            @Override
            boolean admits(Entry entry, long nowMillis) {
                return entry.hasLocalToken(processes.getAsInt(), nowMillis);
            }

            @Override
            public void dispatched(String targetId, long nowMillis) {
                super.dispatched(targetId, nowMillis);
                Entry entry = entries.get(targetId);
                entry.ofProcess.take(1, entry.requestsPerSecond());
            }
        };
    }

    private abstract class Admission implements RateAdmission {
        abstract boolean admits(Entry entry, long nowMillis);

        @Override
        public boolean limits(String targetId) {
            Entry entry = limitedTargets == 0 ? null : entries.get(targetId);
            return entry != null && entry.limited();
        }

        @Override
        public boolean admits(String targetId, long nowMillis) {
            return !limits(targetId) || admits(entries.get(targetId), nowMillis);
        }

        @Override
        public boolean overdue(String targetId, long nowMillis) {
            return limits(targetId) && nowMillis - entries.get(targetId).lastDispatchAtMillis > OVERDUE_MILLIS;
        }

        @Override
        public void dispatched(String targetId, long nowMillis) {
            count(targetId, nowMillis);
        }
    }
}
