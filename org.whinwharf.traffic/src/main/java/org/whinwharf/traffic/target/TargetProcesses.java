package org.whinwharf.traffic.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.whinwharf.traffic.stream.StreamOrigins;

/** The processes that the entries of targets have named lately, by the ids of the targets. */
public final class TargetProcesses {
    /** Number of heartbeats within which a target that repeats its entry has done so. */
    private static final int MAX_HEARTBEATS = 3;

    /** Time after which a service whose targets have stated no process in a report is asked again. */
    private static final long UNREADABLE_RETENTION_MILLIS = 10_000;

    private final long heartbeatMillis;
    private final Predicate<String> reportsExpected;
    /** When a target of each service last had no report, or one that stated no process, in monotonic milliseconds. */
    private final Map<String, Long> unreadableAtMillis = new HashMap<>();
    /** The processes of each target, the one named last at the end. */
    private final Map<String, Deque<TargetProcess>> byTargetId = new HashMap<>();
    /** The latest entry of each target. */
    private final Map<String, Target> entries = new HashMap<>();
    /** When a target last had an entry, in monotonic milliseconds. */
    private final Map<String, Long> namedAtMillis = new HashMap<>();
    /** When the first target of a service was published, in monotonic milliseconds. */
    private final Map<String, Long> firstPublishedAtMillis = new HashMap<>();
    /** Services whose targets have reported their processes. */
    private final Set<String> reporting = new HashSet<>();
    /** Services whose targets have written their entries again while nothing had changed. */
    private final Set<String> repeating = new HashSet<>();

    /**
     * Creates an empty collection.
     *
     * @param heartbeatMillis interval in milliseconds at which targets write their entries; 0 if unknown
     * @param reportsExpected tells by the name of a service whether its targets report on themselves
     */
    public TargetProcesses(long heartbeatMillis, Predicate<String> reportsExpected) {
        this.heartbeatMillis = heartbeatMillis;
        this.reportsExpected = reportsExpected;
    }

    /**
     * Records the entry of a target.
     *
     * @param target target as its entry describes it
     * @param writtenSinceMillis monotonic time in milliseconds at or after which the entry was written;
     *     {@link Long#MIN_VALUE} if unknown
     * @param nowMillis monotonic time in milliseconds
     * @return the process that the entry names
     */
    public TargetProcess published(Target target, long writtenSinceMillis, long nowMillis) {
        firstPublishedAtMillis.putIfAbsent(target.service(), nowMillis);
        namedAtMillis.put(target.id(), nowMillis);
        Deque<TargetProcess> known = byTargetId.computeIfAbsent(target.id(), id -> new ArrayDeque<>());
        TargetProcess latest = known.peekLast();
        boolean same = latest != null
                && latest.startedUnixMillis() == target.startedUnixMillis()
                && latest.version().equals(target.version());
        if (same) {
            confirm(target, latest, writtenSinceMillis);
            entries.put(target.id(), target);
            return latest;
        }
        entries.put(target.id(), target);
        TargetProcess process = new TargetProcess(target.startedUnixMillis(), target.version(), nowMillis);
        known.addLast(process);
        return process;
    }

    /**
     * Records what a process states of itself over a connection to a target.
     *
     * @param target target to which the connection leads
     * @param startedUnixMillis start that the process states
     * @param askedAtMillis monotonic time in milliseconds at which it was asked
     */
    public void stated(Target target, long startedUnixMillis, long askedAtMillis) {
        Optional<TargetProcess> published = latest(target.id());
        if (published.isEmpty()) {
            return;
        }
        reporting.add(target.service());
        if (published.get().startedUnixMillis() == startedUnixMillis) {
            published.get().servedAt(askedAtMillis);
        } else if (askedAtMillis >= published.get().publishedAtMillis()) {
            published.get().succeededBy(startedUnixMillis);
        }
    }

    private void confirm(Target target, TargetProcess process, long atMillis) {
        if (atMillis >= process.publishedAtMillis()) {
            if (target.equals(entries.get(target.id()))) {
                repeating.add(target.service());
            }
            process.servedAt(atMillis);
        }
    }

    /**
     * Returns the process that the latest entry of a target names.
     *
     * @param targetId id of the target
     * @return process; empty if the target has had no entry lately
     */
    public Optional<TargetProcess> latest(String targetId) {
        return Optional.ofNullable(byTargetId.get(targetId)).map(Deque::peekLast);
    }

    /**
     * Records that the process that a target's entry names seems to be gone.
     *
     * @param targetId id of the target
     * @param atMillis monotonic time in milliseconds
     */
    public void lost(String targetId, long atMillis) {
        latest(targetId).ifPresent(process -> process.lostAt(atMillis));
    }

    /**
     * Tells what is known of the process at the other end of a connection.
     *
     * @param targetId id of the target
     * @param service service of the target
     * @param startedUnixMillis start that the target's entry named; 0 if it named none
     * @param establishedAtMillis monotonic time in milliseconds at which the connection was established
     * @param nowMillis monotonic time in milliseconds
     * @return what is known
     */
    public ProcessKnowledge knowledge(
            String targetId, String service, long startedUnixMillis, long establishedAtMillis, long nowMillis) {
        Deque<TargetProcess> known = byTargetId.getOrDefault(targetId, new ArrayDeque<>());
        boolean served = known.stream()
                .anyMatch(process ->
                        process.startedUnixMillis() == startedUnixMillis && process.serves(establishedAtMillis));
        if (served) {
            return ProcessKnowledge.CONFIRMED;
        }
        boolean replaced =
                !known.isEmpty() && known.peekLast().startedUnixMillis() != startedUnixMillis || succeeded(known);
        if (replaced) {
            return ProcessKnowledge.REPLACED;
        }
        boolean stated = mayReport(service, nowMillis)
                || mayRepeatEntries(service, nowMillis)
                || lostBefore(known, establishedAtMillis);
        return startedUnixMillis > 0 && stated ? ProcessKnowledge.UNCONFIRMED : ProcessKnowledge.PRESUMED;
    }

    private static boolean lostBefore(Deque<TargetProcess> known, long establishedAtMillis) {
        return !known.isEmpty() && known.peekLast().lostBefore(establishedAtMillis);
    }

    private static boolean succeeded(Deque<TargetProcess> known) {
        return !known.isEmpty() && known.peekLast().successorStartUnixMillis().isPresent();
    }

    /**
     * Records that a target has no reports, or one that states no process.
     *
     * @param service name of the target's service
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportUnreadable(String service, long nowMillis) {
        unreadableAtMillis.put(service, nowMillis);
    }

    /**
     * Tells whether a target of a service has reported its process.
     *
     * @param service name of the service
     * @return false also while none was asked
     */
    public boolean reports(String service) {
        return reporting.contains(service);
    }

    /**
     * Tells whether the targets of a service may report their processes. While none has done so, one that had no report
     * speaks for the others for a while.
     *
     * @param service name of the service
     * @param nowMillis monotonic time in milliseconds
     * @return true also while that is not known
     */
    public boolean mayReport(String service, long nowMillis) {
        Long unreadable = unreadableAtMillis.get(service);
        return reports(service)
                || reportsExpected.test(service)
                        && (unreadable == null || nowMillis - unreadable > UNREADABLE_RETENTION_MILLIS);
    }

    /**
     * Tells whether the targets of a service write their entries again while nothing changes, so that the next one
     * shows whether the process of the entry is still there.
     *
     * @param service name of the service
     * @param nowMillis monotonic time in milliseconds
     * @return true also while that is not known yet
     */
    public boolean mayRepeatEntries(String service, long nowMillis) {
        long knownMillis = nowMillis - firstPublishedAtMillis.getOrDefault(service, nowMillis);
        return repeating.contains(service) || heartbeatMillis > 0 && knownMillis <= MAX_HEARTBEATS * heartbeatMillis;
    }

    /**
     * Returns when it is known at the latest whether the targets of a service write their entries again.
     *
     * @param service name of the service
     * @return monotonic time in milliseconds; a time in the past if the service is not known
     */
    public long repetitionKnownAtMillis(String service) {
        return firstPublishedAtMillis.getOrDefault(service, Long.MIN_VALUE / 2) + MAX_HEARTBEATS * heartbeatMillis + 1;
    }

    /**
     * Forgets processes that have ended before any stream began whose caller still follows it.
     *
     * @param targetIds ids of the targets that have an entry
     * @param nowMillis monotonic time in milliseconds
     */
    public void sweep(Set<String> targetIds, long nowMillis) {
        targetIds.forEach(targetId -> namedAtMillis.put(targetId, nowMillis));
        namedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > StreamOrigins.RETENTION_MILLIS);
        byTargetId.keySet().retainAll(namedAtMillis.keySet());
        entries.keySet().retainAll(namedAtMillis.keySet());
        byTargetId.values().forEach(known -> {
            while (known.size() > 1 && endedLongAgo(known, nowMillis)) {
                known.removeFirst();
            }
        });
    }

    /** Tells whether the first of several processes has ended before any stream began; the next entry tells when. */
    private static boolean endedLongAgo(Deque<TargetProcess> known, long nowMillis) {
        Iterator<TargetProcess> processes = known.iterator();
        processes.next();
        return nowMillis - processes.next().publishedAtMillis() > StreamOrigins.RETENTION_MILLIS;
    }
}
