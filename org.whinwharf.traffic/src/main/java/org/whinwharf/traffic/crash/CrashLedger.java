package org.whinwharf.traffic.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Remembers the requests under which targets have crashed, and decides which of them must not be sent any more.
 *
 * <p>A request that crashes every target that runs it would take down a whole service: its caller repeats it with a new
 * attempt id, at another process. The ledgers of all processes therefore hold the same runs, recognised by the
 * request's content. Merging is idempotent and the order of merges does not matter, so the processes may tell each
 * other of runs repeatedly and in any order.
 *
 * <p>Every request that runs at a target when it crashes is lost with it, and all but one are harmless. What tells them
 * apart is that the targets of later runs crash as well. Runs that overlap are not held against it by themselves, since
 * one event may have ended them all. A crash at the same time as those of other targets says little about the request,
 * so it takes one more of them.
 */
public final class CrashLedger {
    /**
     * Number of targets lost under a request, one after the other, after which it is not sent. If no others were lost
     * at the same time, those that were lost together count too.
     */
    public static final int MAX_LOST_TARGETS = 3;
    /** Number of targets, one after the other, that are known to have crashed alone, after which it is not sent. */
    private static final int MAX_LONE_CRASHES = 2;
    /** Maximum difference between the times of crashes that may have a cause in common. */
    private static final long COMMON_CAUSE_MILLIS = 1_000;
    /** Time from the crash of a target until it is noticed, by the last sign of it: its return. */
    private static final long CRASH_NOTICE_MILLIS = 5_000;
    /** Maximum number of runs; about those that a whole data centre loses in ten crashes. */
    private static final int MAX_RUNS = 10_000;

    private final Map<Long, LostRun> runs = new LinkedHashMap<>();
    private final Map<Fingerprint, Set<Long>> idsByFingerprint = new HashMap<>();
    private final Map<String, Set<Long>> idsByTarget = new HashMap<>();
    /** Numbers of runs that may have crashed their target, by target, by the time of their end. */
    private final NavigableMap<Long, Map<String, Integer>> lossesByTime = new TreeMap<>();

    private final SharedPartLedger parts = new SharedPartLedger();

    /** Targets known to have crashed, with requests or without, by the time at which it was noticed. */
    private final NavigableMap<Long, Set<String>> crashedTargets = new TreeMap<>();

    /**
     * Tells whether no run is remembered, so that no request needs to be assessed.
     *
     * @return true if it is empty
     */
    public boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Returns the number of runs remembered.
     *
     * @return runs
     */
    public int size() {
        return runs.size();
    }

    /**
     * Records a run, or what is known of it now.
     *
     * @param run lost run
     * @param nowMillis monotonic time in milliseconds
     * @return true if that was not known yet
     */
    public boolean record(LostRun run, long nowMillis) {
        LostRun known = runs.get(run.id());
        boolean upToDate = known != null && known.evidence().compareTo(run.evidence()) >= 0;
        if (upToDate || nowMillis >= run.expiresAtMillis()) {
            return false;
        }
        if (known == null) {
            evictOldest();
            put(run);
        } else {
            remove(known);
            put(ImmutableLostRun.copyOf(known).withEvidence(run.evidence()));
        }
        return true;
    }

    /**
     * Records that a target has crashed, and holds this against the requests that it was lost with.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     * @return runs of which more is known now
     */
    public List<LostRun> targetCrashed(String targetId, long nowMillis) {
        boolean noticed = crashedTargets.tailMap(nowMillis - CRASH_NOTICE_MILLIS).values().stream()
                .anyMatch(targetIds -> targetIds.contains(targetId));
        if (!noticed) {
            crashedTargets.computeIfAbsent(nowMillis, key -> new HashSet<>()).add(targetId);
        }
        long sinceMillis = nowMillis - CRASH_NOTICE_MILLIS;
        return upgrade(
                idsByTarget.getOrDefault(targetId, Set.of()),
                run -> run.endedAtMillis() >= sinceMillis,
                CrashEvidence.CRASHED,
                nowMillis);
    }

    /**
     * Records that a target has served a request, which is thereby cleared.
     *
     * @param fingerprint request
     * @param nowMillis monotonic time in milliseconds
     * @return runs of which more is known now
     */
    public List<LostRun> served(Fingerprint fingerprint, long nowMillis) {
        return upgrade(
                idsByFingerprint.getOrDefault(fingerprint, Set.of()), run -> true, CrashEvidence.CLEARED, nowMillis);
    }

    /**
     * Records that only the path to a run's target was lost, as far as the target is not known to have crashed.
     *
     * @param id id of the run
     * @param nowMillis monotonic time in milliseconds
     * @return the run, if more is known of it now
     */
    public List<LostRun> pathLost(long id, long nowMillis) {
        return upgrade(Set.of(id), run -> run.evidence() != CrashEvidence.CRASHED, CrashEvidence.CLEARED, nowMillis);
    }

    /**
     * Records that a run's target has lived on, whatever was known of it.
     *
     * @param id id of the run
     * @param nowMillis monotonic time in milliseconds
     * @return the run, if more is known of it now
     */
    public List<LostRun> livedOn(long id, long nowMillis) {
        return upgrade(Set.of(id), run -> true, CrashEvidence.CLEARED, nowMillis);
    }

    private List<LostRun> upgrade(
            Collection<Long> ids, Predicate<LostRun> condition, CrashEvidence evidence, long nowMillis) {
        List<LostRun> changed = new ArrayList<>();
        for (Long id : List.copyOf(ids)) {
            LostRun run = runs.get(id);
            if (run != null
                    && condition.test(run)
                    && record(ImmutableLostRun.copyOf(run).withEvidence(evidence), nowMillis)) {
                changed.add(runs.get(id));
            }
        }
        return changed;
    }

    /**
     * Records that a target has served a request with a part of prompts, which is thereby cleared of all crashes
     * before.
     *
     * @param part digest of the part
     * @param atMillis monotonic time in milliseconds at which it was known to be served
     */
    public void partServed(Fingerprint part, long atMillis) {
        parts.served(part, atMillis);
    }

    /**
     * Records that a target has served a request with a part that no target was lost with, which tells for the part if
     * targets are lost with it soon.
     *
     * @param part digest of the part
     * @param atMillis monotonic time in milliseconds at which it was known to be served
     */
    public void partServedBefore(Fingerprint part, long atMillis) {
        parts.servedBefore(part, atMillis);
    }

    /**
     * Returns the parts that were served lately.
     *
     * @return monotonic times in milliseconds at which they were known to be served, by the parts' digests
     */
    public Map<Fingerprint, Long> servings() {
        return parts.servings();
    }

    /**
     * Returns those of a run's parts that are still held against it.
     *
     * @param run lost run
     * @return digests of the parts that were not served since
     */
    public Set<Fingerprint> unservedParts(LostRun run) {
        return parts.unservedParts(run);
    }

    /**
     * Tells whether targets were lost with a part of prompts that was not served since.
     *
     * @param fingerprint digest of the part, or of a request
     * @return true for such a part
     */
    public boolean isLostPart(Fingerprint fingerprint) {
        return parts.contains(fingerprint);
    }

    /**
     * Decides whether a request may be sent to a target.
     *
     * @param fingerprint digest of its content
     * @param sharedParts digests of the parts of its prompt that other requests may share
     * @param nowMillis monotonic time in milliseconds
     * @return the most severe assessment of the request and of these parts
     */
    public Assessment assess(Fingerprint fingerprint, Set<Fingerprint> sharedParts, long nowMillis) {
        Assessment worst = assessContent(fingerprint, nowMillis);
        for (Fingerprint part : sharedParts) {
            worst = worst.orWorse(parts.assess(part, nowMillis));
        }
        return worst;
    }

    /**
     * Decides whether a request may be sent to a target, as far as one of its fingerprints is concerned.
     *
     * @param fingerprint digest of its content, or of a part of its prompt
     * @param nowMillis monotonic time in milliseconds
     * @return assessment
     */
    public Assessment assess(Fingerprint fingerprint, long nowMillis) {
        return isLostPart(fingerprint) ? parts.assess(fingerprint, nowMillis) : assessContent(fingerprint, nowMillis);
    }

    private Assessment assessContent(Fingerprint fingerprint, long nowMillis) {
        List<LostRun> current = current(fingerprint, nowMillis);
        long settlesAtMillis = current.stream()
                .mapToLong(run -> run.endedAtMillis() + run.evidence().settlingMillis())
                .max()
                .orElse(0);
        boolean settled = nowMillis >= settlesAtMillis;
        List<LostRun> counted =
                current.stream().filter(run -> run.evidence().counted()).toList();
        if (counted.isEmpty()) {
            return settled
                    ? Assessment.CLEAN
                    : new Assessment(Assessment.Status.SUSPECT, fingerprint, 0, 0, settlesAtMillis);
        }
        Set<String> targetIds = new HashSet<>();
        runsOf(fingerprint).forEach(run -> targetIds.add(run.targetId()));
        List<LostRun> lone = counted.stream()
                .filter(run -> !hasCommonCause(run, targetIds) && !parts.explains(run))
                .toList();
        List<LostRun> loneCrashes = lone.stream()
                .filter(run -> run.evidence() == CrashEvidence.CRASHED)
                .toList();
        int lost = LostRun.consecutive(counted);
        if (lost == 1 && loneCrashes.isEmpty() && (settled || lone.isEmpty())) {
            return new Assessment(Assessment.Status.WEAK_SUSPECT, fingerprint, lost, 0, 0);
        }
        long decidedAtMillis = decidedAtMillis(current);
        int lostSinceSilence = nowMillis < decidedAtMillis ? lost : LostRun.consecutive(untilSilence(counted, current));
        boolean tooManyLost = lost >= MAX_LOST_TARGETS
                || lostSinceSilence >= MAX_LOST_TARGETS
                || lost > 1 && lostTargets(lone) >= MAX_LOST_TARGETS;
        if (!tooManyLost && LostRun.consecutive(loneCrashes) < MAX_LONE_CRASHES) {
            return new Assessment(
                    Assessment.Status.SUSPECT, fingerprint, lost, 0, Math.max(settlesAtMillis, decidedAtMillis));
        }
        long nextExpiryMillis =
                counted.stream().mapToLong(LostRun::expiresAtMillis).min().getAsLong();
        return new Assessment(
                Assessment.Status.QUARANTINED, fingerprint, lost, nextExpiryMillis - nowMillis, settlesAtMillis);
    }

    /**
     * Returns when it is known whether the targets of a request's runs have crashed, if it is to be quarantined in that
     * case; 0 if not. A run that fell silent and was lost later overlaps the one that replaced it, but does not if its
     * target crashed when it fell silent.
     */
    private static long decidedAtMillis(List<LostRun> current) {
        List<LostRun> notCleared = current.stream()
                .filter(run -> run.evidence() != CrashEvidence.CLEARED)
                .toList();
        if (LostRun.consecutive(notCleared) < MAX_LOST_TARGETS) {
            return 0;
        }
        return notCleared.stream()
                .filter(run -> run.evidence() != CrashEvidence.CRASHED)
                .mapToLong(run -> run.endedAtMillis() + CrashEvidence.SILENT.settlingMillis())
                .max()
                .orElse(0);
    }

    /**
     * Returns counted runs that end when their targets fell silent, as far as nothing was heard of them since. The loss
     * of such a connection is no event in common with the run that replaced it if the target had crashed before.
     */
    private static List<LostRun> untilSilence(List<LostRun> counted, List<LostRun> current) {
        return counted.stream()
                .map(run -> {
                    long millis = current.stream()
                            .filter(other -> other.evidence() != CrashEvidence.CLEARED && sameSending(run, other))
                            .mapToLong(other -> other.endedAtMillis() - other.sentAtMillis())
                            .min()
                            .orElseThrow();
                    return (LostRun) ImmutableLostRun.copyOf(run).withEndedAtMillis(run.sentAtMillis() + millis);
                })
                .toList();
    }

    /** Tells whether two records are of one sending of a request, recorded in silence and at its end. */
    private static boolean sameSending(LostRun run, LostRun other) {
        return run.process() == other.process()
                && run.targetId().equals(other.targetId())
                && run.originSentMillis().equals(other.originSentMillis())
                && (run.originSentMillis().isPresent() || run.sentAtMillis() == other.sentAtMillis());
    }

    /** Returns the runs of a request that are not to be forgotten yet, in the order of their ends. */
    private List<LostRun> current(Fingerprint fingerprint, long nowMillis) {
        return runsOf(fingerprint).stream()
                .filter(run -> nowMillis < run.expiresAtMillis())
                .sorted(LostRun.BY_END)
                .toList();
    }

    /** Returns the number of targets lost; one that was lost again after its return counts again. */
    private static int lostTargets(List<LostRun> sorted) {
        Map<String, List<LostRun>> byTarget = new HashMap<>();
        sorted.forEach(run -> byTarget.computeIfAbsent(run.targetId(), key -> new ArrayList<>())
                .add(run));
        return byTarget.values().stream().mapToInt(LostRun::consecutive).sum();
    }

    /** Tells whether a target to which the request was not sent was lost at about the same time. */
    private boolean hasCommonCause(LostRun run, Set<String> ownTargetIds) {
        return around(lossesByTime, run).anyMatch(byTarget -> !ownTargetIds.containsAll(byTarget.keySet()))
                || around(crashedTargets, run).anyMatch(targetIds -> !ownTargetIds.containsAll(targetIds));
    }

    private static <V> Stream<V> around(NavigableMap<Long, V> byTime, LostRun run) {
        long endedAtMillis = run.endedAtMillis();
        return byTime
                .subMap(endedAtMillis - COMMON_CAUSE_MILLIS, true, endedAtMillis + COMMON_CAUSE_MILLIS, true)
                .values()
                .stream();
    }

    /**
     * Returns what is known of lost runs.
     *
     * @param fingerprint digest of the content of their requests, or of a part that they share
     * @return runs
     */
    public List<LostRun> runsOf(Fingerprint fingerprint) {
        if (isLostPart(fingerprint)) {
            return parts.runsOf(fingerprint);
        }
        return idsByFingerprint.getOrDefault(fingerprint, Set.of()).stream()
                .map(runs::get)
                .toList();
    }

    /**
     * Returns all runs.
     *
     * @return runs, in a new list
     */
    public List<LostRun> all() {
        return List.copyOf(runs.values());
    }

    /**
     * Forgets runs that are no longer held against a request.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void expire(long nowMillis) {
        parts.expire(nowMillis);
        crashedTargets
                .headMap(nowMillis - CrashEvidence.CRASHED.retentionMillis())
                .clear();
        for (LostRun run : all()) {
            if (nowMillis >= run.expiresAtMillis()) {
                remove(run);
            }
        }
    }

    private void evictOldest() {
        if (runs.size() >= MAX_RUNS) {
            remove(runs.values().iterator().next());
        }
    }

    private void put(LostRun run) {
        runs.put(run.id(), run);
        parts.add(run);
        idsByFingerprint
                .computeIfAbsent(run.fingerprint(), key -> new HashSet<>())
                .add(run.id());
        idsByTarget.computeIfAbsent(run.targetId(), key -> new HashSet<>()).add(run.id());
        if (run.evidence().counted()) {
            lossesByTime
                    .computeIfAbsent(run.endedAtMillis(), key -> new HashMap<>())
                    .merge(run.targetId(), 1, Integer::sum);
        }
    }

    private void remove(LostRun run) {
        runs.remove(run.id());
        parts.remove(run);
        removeId(idsByFingerprint, run.fingerprint(), run.id());
        removeId(idsByTarget, run.targetId(), run.id());
        if (run.evidence().counted()) {
            Map<String, Integer> byTarget = lossesByTime.get(run.endedAtMillis());
            byTarget.computeIfPresent(run.targetId(), (target, count) -> count == 1 ? null : count - 1);
            if (byTarget.isEmpty()) {
                lossesByTime.remove(run.endedAtMillis());
            }
        }
    }

    private static <K> void removeId(Map<K, Set<Long>> idsByKey, K key, long id) {
        Set<Long> ids = idsByKey.get(key);
        ids.remove(id);
        if (ids.isEmpty()) {
            idsByKey.remove(key);
        }
    }
}
