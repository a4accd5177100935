package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.stream.ImmutableTargetHistory;
import org.whinwharf.traffic.stream.RouteHistory;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.stream.TargetHistory;

/**
 * Infers at which software version a stream has begun that no process remembers, from the catalogs and targets observed
 * so far.
 */
final class VersionObserver {
    /** Maximum age of the published items by which a service can be said to have one software version only. */
    private static final long MAX_ITEMS_AGE_MILLIS = 3_000;

    /** Maximum time for which a request waits for the history, which may be unreadable. */
    private static final long MAX_HISTORY_WAIT_MILLIS = 1_000;

    private final EventLoopGroup loop;
    private final boolean freshFleet;
    private final TargetRegistry targets;
    private final ItemFeed feed;
    private final Ticker ticker;
    private final RouteHistory routes = new RouteHistory();
    /** Tasks that wait for the history of the publishing service. */
    private final List<Runnable> awaitingHistory = new ArrayList<>();

    private boolean historyExpected;
    /** Number of times that the observation has begun anew. */
    private long observations;

    /**
     * Creates an observer.
     *
     * @param freshFleet true if the whole fleet starts for the first time, so that no stream is older than this process
     */
    VersionObserver(EventLoopGroup loop, boolean freshFleet, TargetRegistry targets, ItemFeed feed, Ticker ticker) {
        this.loop = loop;
        this.freshFleet = freshFleet;
        this.targets = targets;
        this.feed = feed;
        this.ticker = ticker;
        feed.onObservationBegan(this::observationBegan);
        if (freshFleet) {
            targets.observation().beginWithFleet();
        }
    }

    /** Records that a catalog is in force from now on. */
    void catalogInForce(Catalog catalog) {
        routes.inForce(catalog, ticker.nowMillis());
    }

    /**
     * Returns the only software version at which a stream can have begun whose route leads to a service only.
     *
     * @param certifiedVersion version that a peer says is the only one; empty if none does
     * @param maxAgeMillis time in milliseconds for which the stream can have lasted
     * @return version; empty if there were several, or there may have been, or if such a route may have led elsewhere
     */
    Optional<String> onlyVersion(String service, Optional<String> certifiedVersion, long maxAgeMillis) {
        return feed.ageMillis() > MAX_ITEMS_AGE_MILLIS || routes.movedTo(service, maxAgeMillis, ticker.nowMillis())
                ? Optional.empty()
                : targets.onlyVersion(service, certifiedVersion, maxAgeMillis);
    }

    /** Tells whether all targets of a service that this process knows of have had one version lately. */
    boolean hasOneVersion(String service) {
        return targets.hasOneVersion(service);
    }

    /** Records that the history of the publishing service is about to be read. */
    void expectHistory() {
        historyExpected = true;
    }

    /**
     * Runs a task once the history of the publishing service is known, or has not come in time, if it may show that a
     * service has had one version only.
     *
     * @param remainingMillis time in milliseconds that the task has
     * @return false if there is nothing to wait for, or no time; the task is not run then
     */
    boolean awaitHistory(String service, long remainingMillis, Runnable task) {
        if (!historyExpected || remainingMillis <= MAX_HISTORY_WAIT_MILLIS || !targets.hasOneVersion(service)) {
            return false;
        }
        if (awaitingHistory.isEmpty()) {
            loop.schedule(this::historyEnded, MAX_HISTORY_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
        awaitingHistory.add(task);
        return true;
    }

    private void historyEnded() {
        historyExpected = false;
        List<Runnable> tasks = List.copyOf(awaitingHistory);
        awaitingHistory.clear();
        // Each in a turn of its own, so that one that fails does not end the others.
        tasks.forEach(loop::execute);
    }

    /** Returns the services of which this process can tell others that they have had one version only, with it. */
    Map<String, String> onlyVersions() {
        Map<String, String> versions = new HashMap<>();
        targets.services()
                .forEach(service -> onlyVersion(service, Optional.empty(), StreamOrigins.RETENTION_MILLIS)
                        .ifPresent(version -> versions.put(service, version)));
        return versions;
    }

    /** Returns for how long this process has known of every target that was published, in milliseconds. */
    long observedMillis() {
        return targets.observation().ageMillis(ticker.nowMillis());
    }

    /**
     * Returns a consumer of what the publishing service knows of targets that were published before this process began
     * to watch. A history that is read from now on does not show what comes and goes in a later gap.
     */
    Consumer<TargetHistory> historyConsumer() {
        long observation = observations;
        return history -> {
            boolean current = observations == observation;
            targets.addHistory(
                    current ? history : ImmutableTargetHistory.copyOf(history).withReachMillis(0));
            logObserved(current ? "history" : "outdated-history", history.reachMillis());
            historyEnded();
        };
    }

    /** Records that items were replaced as a whole, so that targets may have come and gone unnoticed. */
    private void observationBegan(boolean first) {
        if (first && freshFleet) {
            return;
        }
        observations++;
        targets.observation().begin(ticker.nowMillis());
        logObserved(first ? "first-copy" : "gap", 0);
    }

    private void logObserved(String reason, long knownMillis) {
        EventLog.event(LogEvent.TARGETS_OBSERVED)
                .with(EventField.REASON, reason)
                .with(EventField.REVISION, feed.revision())
                .with(EventField.AGE_MILLIS, knownMillis)
                .call();
    }
}
