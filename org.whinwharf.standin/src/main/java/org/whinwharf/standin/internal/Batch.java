package org.whinwharf.standin.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.whinwharf.standin.record.Overload;
import org.whinwharf.wire.schema.StreamToken;

/**
 * Decides what a continuously batching engine does next. It knows no clock: time comes with each call.
 *
 * <p>An engine that is cold bears few streams and one more with each that completes. Beyond that it collapses: every
 * token takes many times as long, new streams are refused and running ones fail one after the other.
 */
final class Batch {
    private static final double COLLAPSE_FACTOR = 20;
    private static final long COLLAPSE_FAIL_MILLIS = 500;
    private static final int MAX_OVERLOADS = 1000;
    private static final double SECOND_MILLIS = 1000;

    private final EngineSettings settings;
    private final PrefixCache cache;
    private final Deque<Work> queued = new ArrayDeque<>();
    private final List<Work> running = new ArrayList<>();
    private final List<Overload> overloads = new ArrayList<>();
    private final List<PrefixCache.Change> cacheChanges = new ArrayList<>();
    private double slowFactor = 1;
    private double prefillFreeMillis;
    private long coldSinceMillis;
    private boolean coldByStart = true;
    private int completions;
    private long collapsedSinceMillis = Long.MAX_VALUE;
    private int maxInFlight;
    private int maxInFlightCold;

    Batch(EngineSettings settings, long nowMillis) {
        this.settings = settings;
        this.cache = new PrefixCache(settings.cacheTokens());
        this.coldSinceMillis = nowMillis;
    }

    /**
     * Event of one stream.
     *
     * @param work the stream
     * @param token token that it made; null when it failed
     */
    record Step(Work work, StreamToken token) {}

    /** Admits a stream, or returns false when it is refused. */
    boolean admit(Work work, long nowMillis) {
        boolean crushed = cold() && inFlight() >= 2 * bears() + 1;
        if (crushed || inFlight() >= settings.slots() + settings.maxQueued()) {
            return false;
        }
        queued.add(work);
        maxInFlight = Math.max(maxInFlight, inFlight());
        if (cold()) {
            noteCold(nowMillis);
        }
        return true;
    }

    /** Moves every stream on to the given instant and returns what came of it, in order. */
    List<Step> tick(long nowMillis) {
        List<Step> steps = new ArrayList<>();
        startQueued(nowMillis);
        noteCollapse(nowMillis, steps);
        for (Iterator<Work> each = running.iterator(); each.hasNext(); ) {
            Work work = each.next();
            advance(work, nowMillis, steps);
            if (work.outcome != Work.Outcome.RUNNING) {
                each.remove();
                completions++;
            }
        }
        return steps;
    }

    void cancel(Work work, long nowMillis) {
        if (queued.remove(work) || running.remove(work)) {
            work.end(Work.Outcome.CANCELLED, nowMillis);
        }
    }

    void slow(double factor) {
        slowFactor = factor;
    }

    void goCold(long nowMillis) {
        completions = 0;
        coldSinceMillis = nowMillis;
        coldByStart = false;
    }

    /** Ends every stream and forgets the cache, as a new start does. */
    List<Work> restart(long nowMillis) {
        List<Work> ended = new ArrayList<>(running);
        ended.addAll(queued);
        ended.forEach(work -> work.end(Work.Outcome.FAILED, nowMillis));
        running.clear();
        queued.clear();
        cache.clear();
        prefillFreeMillis = nowMillis;
        goCold(nowMillis);
        return ended;
    }

    /** Returns the changes of the cache since the last call. */
    List<PrefixCache.Change> takeCacheChanges() {
        List<PrefixCache.Change> taken = List.copyOf(cacheChanges);
        cacheChanges.clear();
        return taken;
    }

    int bears() {
        return Math.min(settings.slots(), settings.coldRequests() + completions);
    }

    boolean cold() {
        return bears() < settings.slots();
    }

    boolean servedSinceCold() {
        return completions > 0;
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queued.size();
    }

    int maxInFlight() {
        return maxInFlight;
    }

    int maxInFlightCold() {
        return maxInFlightCold;
    }

    List<Overload> overloads() {
        return List.copyOf(overloads);
    }

    private int inFlight() {
        return running.size() + queued.size();
    }

    private void noteCold(long nowMillis) {
        maxInFlightCold = Math.max(maxInFlightCold, inFlight());
        if (inFlight() > bears() && overloads.size() < MAX_OVERLOADS) {
            overloads.add(new Overload(nowMillis, nowMillis - coldSinceMillis, coldByStart, inFlight(), bears()));
        }
    }

    private void startQueued(long nowMillis) {
        while (running.size() < settings.slots() && !queued.isEmpty()) {
            Work work = queued.poll();
            work.prefillTokens = cache.missingTokens(work.prompt, work.digests);
            cacheChanges.addAll(cache.store(work.digests));
            double prefillMillis = work.prefillTokens * SECOND_MILLIS / settings.prefillTokensPerSecond() * pace();
            prefillFreeMillis = Math.max(prefillFreeMillis, nowMillis) + prefillMillis;
            work.nextTokenMillis = prefillFreeMillis + tokenMillis();
            running.add(work);
        }
    }

    private void advance(Work work, long nowMillis, List<Step> steps) {
        while (work.nextTokenMillis <= nowMillis && work.made < work.tokens) {
            steps.add(new Step(work, work.makeToken()));
            work.nextTokenMillis += tokenMillis();
        }
        if (work.made == work.tokens) {
            work.end(Work.Outcome.COMPLETED, nowMillis);
        }
    }

    private void noteCollapse(long nowMillis, List<Step> steps) {
        if (!collapsed()) {
            collapsedSinceMillis = Long.MAX_VALUE;
            return;
        }
        collapsedSinceMillis = Math.min(collapsedSinceMillis, nowMillis);
        if (nowMillis - collapsedSinceMillis >= COLLAPSE_FAIL_MILLIS && !running.isEmpty()) {
            Work failed = running.remove(0);
            failed.end(Work.Outcome.FAILED, nowMillis);
            steps.add(new Step(failed, null));
            collapsedSinceMillis = nowMillis;
        }
    }

    private boolean collapsed() {
        return cold() && inFlight() > bears();
    }

    private double pace() {
        return slowFactor * (collapsed() ? COLLAPSE_FACTOR : 1);
    }

    /** Beyond half of the slots more streams only share what the engine makes. */
    private double tokenMillis() {
        double knee = Math.max(1, settings.slots() / 2.0);
        return settings.tokenMillis() * pace() * Math.max(1, running.size() / knee);
    }
}
