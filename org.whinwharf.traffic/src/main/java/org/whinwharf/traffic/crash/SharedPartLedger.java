package org.whinwharf.traffic.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Finds the parts of prompts under which targets crash, whatever else the requests hold.
 *
 * <p>A target that crashes loses all its requests, each with several parts, so one crash says little of any of them.
 * What tells them apart is that a harmless part is served elsewhere meanwhile, which clears it of all crashes so far. A
 * part that few requests have may have been lost repeatedly before any of them was served. It is a suspect then, and
 * the next request with it shows which it is. Once a part is quarantined, it accounts for the crashes of its runs, and
 * the parts and requests that were lost at the same time are no longer blamed for them.
 *
 * <p>Crashes at about the same time are not taken for one event, unlike those of one request: requests that share a
 * part may come at the same time. If no run began after the end of another, though, they may have crashed with their
 * rack.
 *
 * <p>A part that was served lately is probably harmless, so it takes more to quarantine it. Runs that overlap count
 * once for it, as for a request: its runs at several targets may have been lost by one event. A run does not count that
 * holds another part that was not served and was lost elsewhere too. It is a suspect as early as any other part.
 */
final class SharedPartLedger {
    /** Number of targets lost with a part, not all at once, after which no request with it is sent. */
    private static final int MAX_LOST_TARGETS = 3;
    /** Number of targets lost with a part after which one request with it runs at a time. */
    private static final int MIN_LOST_TARGETS_OF_SUSPECT = 2;
    /** Time after the last loss until a request with a quarantined part is tried. */
    private static final long FIRST_TRIAL_DELAY_MILLIS = 2_000;
    /** Time until the next one, if the target of the first was lost too. */
    private static final long SECOND_TRIAL_DELAY_MILLIS = 20_000;
    /** Maximum time between the ends of runs that one crash of a target ended, as different processes see it. */
    private static final long SAME_CRASH_MILLIS = 1_000;
    /** Time for which a serving is remembered; peers tell of crashes before it for this long. */
    private static final long SERVING_RETENTION_MILLIS = 30_000;
    /** Maximum number of parts remembered, since callers may send any number. */
    private static final int MAX_PARTS = 20_000;

    /** Counted runs that ended after the part was last served, in the order of their ends. */
    private final Map<Fingerprint, NavigableSet<LostRun>> runsByPart = new LinkedHashMap<>();

    private final Map<Fingerprint, Long> servedAtMillis = new LinkedHashMap<>();
    /** Times at which this process has known parts to be served that no target was lost with. */
    private final Map<Fingerprint, Long> servedBeforeMillis = new LinkedHashMap<>();
    /** Parts with enough runs to be quarantined. */
    private final Set<Fingerprint> frequentParts = new HashSet<>();
    /** Null after a change, until it is needed. */
    private Set<Fingerprint> quarantined;

    /** Tells whether any run with the part is held against it. */
    boolean contains(Fingerprint part) {
        return runsByPart.containsKey(part);
    }

    /** Returns the runs that are held against a part, the newest last. */
    List<LostRun> runsOf(Fingerprint part) {
        return List.copyOf(runsByPart.getOrDefault(part, Collections.emptyNavigableSet()));
    }

    /** Returns those of a run's parts that were not served since its end. */
    Set<Fingerprint> unservedParts(LostRun run) {
        Set<Fingerprint> parts = new LinkedHashSet<>(run.sharedParts());
        parts.removeIf(part -> servedSince(part, run));
        return parts;
    }

    private boolean servedSince(Fingerprint part, LostRun run) {
        return servedAtMillis.getOrDefault(part, Long.MIN_VALUE) >= run.endedAtMillis();
    }

    void add(LostRun run) {
        if (run.evidence().counted()) {
            unservedParts(run).forEach(part -> add(part, run));
        }
    }

    private void add(Fingerprint part, LostRun run) {
        if (runsByPart.size() >= MAX_PARTS && !runsByPart.containsKey(part)) {
            forget(runsByPart.keySet().iterator().next());
        }
        NavigableSet<LostRun> runs = runsByPart.computeIfAbsent(part, key -> new TreeSet<>(LostRun.BY_END));
        runs.add(run);
        changed(part, runs);
    }

    void remove(LostRun run) {
        for (Fingerprint part : run.sharedParts()) {
            NavigableSet<LostRun> runs = runsByPart.get(part);
            if (runs != null && runs.remove(run)) {
                changed(part, runs);
            }
        }
    }

    /**
     * Records that a target has served a request with a part.
     *
     * @param atMillis monotonic time in milliseconds at which it was known to be served
     */
    void served(Fingerprint part, long atMillis) {
        boolean known = servedLately(part);
        remember(servedAtMillis, part, atMillis);
        NavigableSet<LostRun> runs = runsByPart.get(part);
        if (runs != null && (runs.removeIf(run -> servedSince(part, run)) || !known)) {
            changed(part, runs);
        }
    }

    /**
     * Records that a target has served a request with a part that no target was lost with, so that the peers are not
     * told.
     *
     * @param atMillis monotonic time in milliseconds at which it was known to be served
     */
    void servedBefore(Fingerprint part, long atMillis) {
        remember(servedBeforeMillis, part, atMillis);
    }

    private void remember(Map<Fingerprint, Long> servings, Fingerprint part, long atMillis) {
        if (servings.size() >= MAX_PARTS && !servings.containsKey(part)) {
            servings.remove(servings.keySet().iterator().next());
            quarantined = null;
        }
        servings.merge(part, atMillis, Math::max);
    }

    private boolean servedLately(Fingerprint part) {
        return servedAtMillis.containsKey(part) || servedBeforeMillis.containsKey(part);
    }

    /** Returns when parts were served lately. */
    Map<Fingerprint, Long> servings() {
        return Collections.unmodifiableMap(servedAtMillis);
    }

    private void changed(Fingerprint part, Collection<LostRun> runs) {
        quarantined = null;
        if (runs.isEmpty()) {
            forget(part);
        } else if (runs.size() >= MAX_LOST_TARGETS) {
            frequentParts.add(part);
        } else {
            frequentParts.remove(part);
        }
    }

    private void forget(Fingerprint part) {
        runsByPart.remove(part);
        frequentParts.remove(part);
        quarantined = null;
    }

    /** Forgets servings that no peer may contradict any more, apart from those that tell for a part. */
    void expire(long nowMillis) {
        for (Map<Fingerprint, Long> servings : List.of(servedAtMillis, servedBeforeMillis)) {
            servings.entrySet()
                    .removeIf(serving -> nowMillis - serving.getValue() > SERVING_RETENTION_MILLIS
                            && !runsByPart.containsKey(serving.getKey()));
        }
    }

    /** Decides whether requests with a part may be sent to targets. */
    Assessment assess(Fingerprint part, long nowMillis) {
        boolean isQuarantined = quarantined().contains(part);
        List<LostRun> runs = isQuarantined ? runsOf(part) : unexplained(part, quarantined());
        int lost = lostTargets(runs);
        if (lost < MIN_LOST_TARGETS_OF_SUSPECT) {
            return Assessment.CLEAN;
        }
        long settlesAtMillis = runs.stream()
                .mapToLong(run -> run.endedAtMillis() + run.evidence().settlingMillis())
                .max()
                .getAsLong();
        long endsAtMillis = isQuarantined ? quarantineEndMillis(part, runs) : 0;
        return nowMillis < endsAtMillis
                ? new Assessment(Assessment.Status.QUARANTINED, part, lost, endsAtMillis - nowMillis, settlesAtMillis)
                : new Assessment(Assessment.Status.SUSPECT, part, lost, 0, settlesAtMillis);
    }

    /**
     * Returns when the next request with a quarantined part may show whether targets still crash under it. A few such
     * trials come early, since a part that few requests have may have been lost each time by chance. The second one is
     * as early as the first if only a trial of one of two parts can tell which of them to blame.
     */
    private long quarantineEndMillis(Fingerprint part, List<LostRun> runs) {
        long lastEndMillis = runs.get(runs.size() - 1).endedAtMillis();
        return switch (crashes(part, runs)) {
            case MAX_LOST_TARGETS -> lastEndMillis + FIRST_TRIAL_DELAY_MILLIS;
            case MAX_LOST_TARGETS + 1 ->
                lastEndMillis
                        + (lostWithQuarantined(part, runs) ? FIRST_TRIAL_DELAY_MILLIS : SECOND_TRIAL_DELAY_MILLIS);
            default -> lastEndMillis + CrashEvidence.CRASHED.retentionMillis();
        };
    }

    /** Tells whether one of the runs lost with a part holds another part that is quarantined. */
    private boolean lostWithQuarantined(Fingerprint part, List<LostRun> runs) {
        return runs.stream()
                .flatMap(run -> run.sharedParts().stream())
                .anyMatch(other -> !other.equals(part) && quarantined().contains(other));
    }

    /** Tells whether a run was lost at a target that crashed under a quarantined part, of any request. */
    boolean explains(LostRun run) {
        return quarantined().stream().anyMatch(part -> crashedTargetOf(part, run));
    }

    private boolean crashedTargetOf(Fingerprint part, LostRun run) {
        return runsByPart.get(part).stream()
                .anyMatch(other -> other.targetId().equals(run.targetId())
                        && Math.abs(other.endedAtMillis() - run.endedAtMillis()) <= SAME_CRASH_MILLIS);
    }

    /** Returns the runs lost with a part, without those at targets that crashed under others of the given parts. */
    private List<LostRun> unexplained(Fingerprint part, Set<Fingerprint> crashing) {
        return runsOf(part).stream()
                .filter(run -> crashing.stream().noneMatch(other -> !other.equals(part) && crashedTargetOf(other, run)))
                .toList();
    }

    private Set<Fingerprint> quarantined() {
        if (quarantined == null) {
            quarantined = findQuarantined();
        }
        return quarantined;
    }

    /**
     * Returns the parts to be quarantined. Those with most crashes come first, since harmless parts can only have been
     * lost at some of the same targets.
     */
    private Set<Fingerprint> findQuarantined() {
        NavigableMap<Integer, List<Fingerprint>> partsByCrashes = new TreeMap<>(Collections.reverseOrder());
        frequentParts.forEach(part -> partsByCrashes
                .computeIfAbsent(crashes(part, runsByPart.get(part)), count -> new ArrayList<>())
                .add(part));
        Set<Fingerprint> found = new HashSet<>();
        for (List<Fingerprint> parts : partsByCrashes.values()) {
            Set<Fingerprint> before = Set.copyOf(found);
            parts.stream()
                    .filter(part -> tooManyLost(part, unexplained(part, before)))
                    .forEach(found::add);
        }
        return found;
    }

    private boolean tooManyLost(Fingerprint part, List<LostRun> sorted) {
        return crashes(part, sorted) >= MAX_LOST_TARGETS
                && LostRun.consecutive(sorted) > 1
                && ofSeveralRequests(sorted);
    }

    /** Tells whether the runs of a part may be held against it, and not just against the one request that has it. */
    private static boolean ofSeveralRequests(Collection<LostRun> runs) {
        return runs.stream().map(LostRun::fingerprint).distinct().limit(2).count() > 1;
    }

    /** Returns the number of crashes that count for the quarantine of a part, of those that ended the given runs. */
    private int crashes(Fingerprint part, Collection<LostRun> sorted) {
        if (!servedLately(part)) {
            return lostTargets(sorted);
        }
        List<LostRun> own =
                sorted.stream().filter(run -> !hasLikelierPart(run, part)).toList();
        return Math.min(lostTargets(own), LostRun.consecutive(own));
    }

    /** Tells whether a run holds a part that was lost without the given one, which was served lately, and was not. */
    private boolean hasLikelierPart(LostRun run, Fingerprint servedPart) {
        return run.sharedParts().stream()
                .filter(other -> runsByPart.containsKey(other) && !servedLately(other))
                .map(runsByPart::get)
                .anyMatch(runs -> lostTargets(runs) >= MIN_LOST_TARGETS_OF_SUSPECT
                        && runs.stream().anyMatch(each -> !each.sharedParts().contains(servedPart)));
    }

    /** Returns the number of targets lost; one that was lost again after its return counts again. */
    private static int lostTargets(Collection<LostRun> sorted) {
        Map<String, Long> lastEndMillis = new HashMap<>();
        int count = 0;
        for (LostRun run : sorted) {
            Long previous = lastEndMillis.put(run.targetId(), run.endedAtMillis());
            count += previous == null || run.endedAtMillis() - previous > SAME_CRASH_MILLIS ? 1 : 0;
        }
        return count;
    }
}
