package org.whinwharf.front;

import java.util.Collections;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.traffic.catalog.RouteKind;

/**
 * The runs of one request: those so far, by their targets, and those under way. These are the latest one, and one
 * before it whose target is silent.
 *
 * <p>A silent target may be about to go on or never do so again, and nothing tells which. Its run is therefore not
 * given up when another target is sought, but when that one answers; if the silent target sends more before, the other
 * one is given up.
 */
final class RequestRuns {
    /** Interval at which another target is sought for a request whose target is silent. */
    private static final long REPLACEMENT_INTERVAL_MILLIS = 250;
    /**
     * Maximum time for which two targets work on one stream. Targets need up to 100 ms more to notice that they are not
     * to go on, and after 400 ms both could work on the same part of the stream.
     */
    private static final long MAX_STREAM_OVERLAP_MILLIS = 300;

    private final Set<String> triedTargetIds = new HashSet<>();
    private int sentCount;
    private int possibleExecutions;
    /** Null before the first run. */
    private ActiveRun latest;
    /** Null unless another target is sought for it, or was sent the request and has not answered. */
    private ActiveRun silent;

    private long nextReplacementAtMillis;

    /** Returns the latest run; null before the first. */
    ActiveRun latest() {
        return latest;
    }

    /** Adds a run that has a target. */
    void add(ActiveRun run) {
        latest = run;
    }

    /** Records that the latest run was sent to its target. */
    void sent() {
        sentCount++;
        possibleExecutions++;
        triedTargetIds.add(latest.run().target().id());
    }

    /** Records that a target reported that it did not execute the request. */
    void notExecuted() {
        possibleExecutions--;
    }

    /** Returns the number of times that the request was sent to a target. */
    int sentCount() {
        return sentCount;
    }

    /** Returns the ids of the targets to which the request was sent. */
    Set<String> triedTargetIds() {
        return Collections.unmodifiableSet(triedTargetIds);
    }

    /** Tells whether any target may have executed the request or may still execute it. */
    boolean mayHaveExecuted() {
        return possibleExecutions > 0;
    }

    /** Tells whether there is a silent run, so that the request goes on whatever becomes of its replacement. */
    boolean replacing() {
        return silent != null;
    }

    /** Returns the silent run; null if there is none. */
    ActiveRun silent() {
        return silent;
    }

    /** Returns the run from which a response is awaited; the silent one if there are two. */
    Optional<ActiveRun> awaited() {
        return Optional.ofNullable(silent == null ? latest : silent).filter(ActiveRun::awaitsResponse);
    }

    /** Has the targets reviewed if they send nothing to any request of this process. */
    void reviewSilence(boolean streamStarted, long nowMillis) {
        if (replacing()) {
            silent.reviewSilence(streamStarted, nowMillis);
        }
        if (latest != null && latest != silent && latest.awaitsResponse()) {
            latest.reviewSilence(streamStarted, nowMillis);
        }
    }

    /** Tells whether another target should be sought now. */
    boolean needReplacement(boolean streamStarted, long nowMillis) {
        return !replacing() && nowMillis >= nextReplacementAtMillis && latest.stalled(streamStarted, nowMillis);
    }

    /** Lets some time pass before another target is sought again. */
    void postponeReplacement(long nowMillis) {
        nextReplacementAtMillis = nowMillis + REPLACEMENT_INTERVAL_MILLIS;
    }

    /** Takes the latest run for silent; another target is sought for the request. */
    void beginReplacement() {
        silent = latest;
        silent.suspect();
    }

    /** Tells whether the replacement of a silent run was sent to its target. */
    boolean replacementSent() {
        return latest != silent && latest.sent();
    }

    /** Tells whether two targets have worked on a stream for too long. */
    boolean overlapTooLong(RouteKind kind, long nowMillis) {
        return replacing()
                && kind == RouteKind.STREAMING
                && replacementSent()
                && nowMillis - latest.run().sentAtMillis() > MAX_STREAM_OVERLAP_MILLIS;
    }

    /** Ends the replacement, if there is one; the silent run is the latest again. */
    void withdrawReplacement() {
        if (latest != silent) {
            latest.cancel();
        }
        latest = silent;
        silent = null;
    }

    /** Ends the silent run in favour of its replacement. */
    void dropSilent() {
        silent.cancel();
        silent = null;
    }

    /** Records that the silent run has ended by itself; its replacement goes on. */
    void silentEnded() {
        silent = null;
    }

    /** Ends all runs; their targets may be found to have crashed while they were silent. */
    void abandon(long nowMillis) {
        if (latest != null) {
            latest.abandon(nowMillis);
        }
        if (replacing() && silent != latest) {
            silent.abandon(nowMillis);
        }
        silent = null;
    }
}
