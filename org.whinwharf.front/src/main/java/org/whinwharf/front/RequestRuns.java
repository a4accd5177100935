package org.whinwharf.front;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.whinwharf.traffic.catalog.RouteKind;

/**
 * The runs of one request: those so far, by their targets, and those under way. These are the latest one, and earlier
 * ones that were set aside because their targets fell silent.
 *
 * <p>A silent target may be about to go on or never do so again, and nothing tells which. Its run is therefore not
 * given up when another target is sought, but when one answers. Whichever target does so first is taken, and the runs
 * at the others are ended.
 */
final class RequestRuns {
    /** Interval at which another target is sought for a request whose target is silent. */
    private static final long REPLACEMENT_INTERVAL_MILLIS = 250;
    /**
     * Maximum time for which two targets work on one stream, without the interval of the check and the time that a
     * target needs to notice that it is not to go on, which together are below 200 ms.
     */
    private static final long MAX_STREAM_OVERLAP_MILLIS = 200;

    private final Set<String> triedTargetIds = new HashSet<>();
    /** Target of the latest run that was sent; empty before the first. */
    private Optional<String> sentTargetId = Optional.empty();

    private int sentCount;
    private int possibleExecutions;
    /** Runs whose targets have not ended them, so far as is known; those of silent and lost connections among them. */
    private final List<ActiveRun> notEnded = new ArrayList<>();
    /** Null before the first run. */
    private ActiveRun latest;
    /** Runs of silent targets for which another target is sought or was sent the request, the oldest first. */
    private final List<ActiveRun> setAside = new ArrayList<>();
    /** Whether another target is being sought, so that the latest run is one of those that were set aside. */
    private boolean seeking;

    private long nextReplacementAtMillis;

    /** Returns the latest run; null before the first. */
    ActiveRun latest() {
        return latest;
    }

    /** Adds a run that has a target. */
    void add(ActiveRun run) {
        latest = run;
        seeking = false;
    }

    /** Records that the latest run was sent to its target. */
    void sent() {
        sentCount++;
        possibleExecutions++;
        sentTargetId = Optional.of(latest.run().target().id());
        triedTargetIds.add(sentTargetId.get());
        notEnded.add(latest);
    }

    /** Records that a target reported that it did not execute the request. */
    void notExecuted(ActiveRun run) {
        possibleExecutions--;
        notEnded.remove(run);
    }

    /** Records that a target has ended a run without success. */
    void endedByTarget(ActiveRun run) {
        notEnded.remove(run);
    }

    /** Returns the version of the first target that may still work on the request; empty if none does. */
    Optional<String> versionAtWork() {
        return notEnded.stream().findFirst().map(run -> run.run().target().version());
    }

    /** Returns the number of times that the request was sent to a target. */
    int sentCount() {
        return sentCount;
    }

    /** Returns the target to which the request was sent last; empty if it was sent to none. */
    Optional<String> sentTargetId() {
        return sentTargetId;
    }

    /** Returns the ids of the targets to which the request was sent. */
    Set<String> triedTargetIds() {
        return Collections.unmodifiableSet(triedTargetIds);
    }

    /** Tells whether any target may have executed the request or may still execute it. */
    boolean mayHaveExecuted() {
        return possibleExecutions > 0;
    }

    /** Tells whether runs were set aside, so that the request goes on whatever becomes of the replacement. */
    boolean replacing() {
        return !setAside.isEmpty();
    }

    /** Tells whether a run is set aside. */
    boolean isSetAside(ActiveRun run) {
        return setAside.contains(run);
    }

    /** Returns the run that was set aside last. */
    ActiveRun lastSetAside() {
        return setAside.get(setAside.size() - 1);
    }

    /** Tells whether another run than the given one may still bring an answer. */
    boolean othersMayAnswer(ActiveRun run) {
        return underWay().anyMatch(other -> other != run);
    }

    /** Returns the run from which a response is awaited; the first if there are several. */
    Optional<ActiveRun> awaited() {
        return underWay().findFirst();
    }

    private Stream<ActiveRun> underWay() {
        Stream<ActiveRun> all =
                seeking || latest == null ? setAside.stream() : Stream.concat(setAside.stream(), Stream.of(latest));
        return all.filter(ActiveRun::awaitsResponse);
    }

    /** Has the targets reviewed if they send nothing to any request of this process. */
    void reviewSilence(boolean streamStarted, long nowMillis) {
        underWay().forEach(run -> run.reviewSilence(streamStarted, nowMillis));
    }

    /** Tells whether another target should be sought now, also for a replacement that has fallen silent itself. */
    boolean needReplacement(boolean streamStarted, long nowMillis) {
        return !seeking && nowMillis >= nextReplacementAtMillis && latest.stalled(streamStarted, nowMillis);
    }

    /** Lets some time pass before another target is sought again. */
    void postponeReplacement(long nowMillis) {
        nextReplacementAtMillis = nowMillis + REPLACEMENT_INTERVAL_MILLIS;
    }

    /** Sets the latest run aside; another target is sought for the request. */
    void beginReplacement() {
        latest.setAside();
        setAside.add(latest);
        seeking = true;
    }

    /** Tells whether the replacement was sent to its target. */
    boolean replacementSent() {
        return !seeking && latest.sent();
    }

    /**
     * Tells whether two targets have worked on a stream for too long. The latest one does not work on it while it sends
     * nothing to any request, not even to a health check, so it may be the earlier one that goes on.
     */
    boolean overlapTooLong(RouteKind kind, long nowMillis) {
        return replacing()
                && kind == RouteKind.STREAMING
                && replacementSent()
                && nowMillis - latest.run().sentAtMillis() > MAX_STREAM_OVERLAP_MILLIS
                && latest.entry().lastByteAtMillis() >= latest.run().sentAtMillis();
    }

    /** Ends the replacement, if there is one; the run that was set aside last is the latest again. */
    void withdrawReplacement() {
        if (!seeking) {
            latest.cancel();
        }
        latest = setAside.remove(setAside.size() - 1);
        seeking = false;
    }

    /** Ends all runs but one, which is the latest again. */
    void keepOnly(ActiveRun run) {
        underWay().filter(other -> other != run).toList().forEach(ActiveRun::cancel);
        if (!seeking && latest != run) {
            latest.cancel();
        }
        setAside.clear();
        latest = run;
        seeking = false;
    }

    /** Ends the runs that were set aside in favour of the latest one. */
    void dropSetAside() {
        setAside.forEach(ActiveRun::cancel);
        setAside.clear();
    }

    /** Ends one of the runs that were set aside, unless it has ended by itself. */
    void drop(ActiveRun run) {
        run.cancel();
        setAside.remove(run);
    }

    /** Ends all runs; their targets may be found to have crashed while they were silent. */
    void abandon(long nowMillis) {
        setAside.forEach(run -> run.abandon(nowMillis));
        setAside.clear();
        if (latest != null) {
            latest.abandon(nowMillis);
        }
        seeking = false;
    }
}
