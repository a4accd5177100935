package org.whinwharf.front;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Keeps the published items up to date, from the publishing service or otherwise from peers.
 *
 * <p>A process whose local watch fails would continue with revoked keys and old routes while its peers have newer ones.
 * It therefore polls peers until the local watch works again. In a large fleet only a few processes of each data centre
 * watch the service, because its read capacity grows more slowly than the fleet; the others poll the watchers.
 */
public final class ItemFeed implements ItemFreshness {
    /**
     * Time without an answer after which the local watch counts as failed; a working watch answers at least this often.
     */
    private static final long WATCH_TIMEOUT_MILLIS = 2_900;
    /**
     * Time within which a working local watch delivers items that a peer already holds: twice the interval between
     * watches. The rest of the time limit for applying a change must suffice for the request to that peer on a slow
     * host.
     */
    private static final long WATCH_CATCH_UP_MILLIS = 400;
    /** Time for which the service holds a call that has nothing new to return. */
    private static final long MIN_HELD_MILLIS = 1_000;
    /** Time for which a peer may hold a poll until an item changes. */
    private static final long PEER_LONG_POLL_MILLIS = 1_000;
    /** Time between two answers of peers in which no target can have been published and removed unnoticed. */
    private static final long MAX_PEER_CHANGES_MILLIS = 3_000;
    /** Receives changes of published items. */
    public interface Listener {
        /**
         * Handles one change.
         *
         * @param value the changed item or its removal
         * @param afterInitialSnapshot false for the items of the first snapshot
         * @param readableForMillis time in milliseconds for which the service has been readable without interruption; 0
         *     in an outage long enough for entries to expire, {@link Long#MAX_VALUE} when no outage is known or the
         *     last one ended long ago
         */
        void itemChanged(PublishedValue value, boolean afterInitialSnapshot, long readableForMillis);
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final ItemMirror mirror;
    private final PeerItemSource peers;
    private final Ticker ticker;
    private final Random random;
    private final PublisherAvailability service;
    private final WatcherRole role;
    private Consumer<Boolean> observationListener = first -> {};
    private Listener listener = (value, afterInitialSnapshot, readableForMillis) -> {};
    private long lastServiceReadAtMillis = Long.MIN_VALUE / 2;
    private long confirmedAtMillis;
    private boolean pollInFlight;
    private boolean catchUpInFlight;
    private String lastPeerIp = "";
    /** Whether a peer watches the service, by IP address, from its answers since its last report. */
    private final Map<String, Boolean> watchingByIp = new HashMap<>();
    /** IP addresses of peers whose last answer held stale items. */
    private final Set<String> stalePeerIps = new HashSet<>();
    /** IP address of a peer with newer items; empty when none is known. */
    private String newerPeerIp = "";
    /** Revision that this peer reported. */
    private long newerPeerRevision;
    /** Monotonic time since which peers have held newer items. */
    private long behindSinceMillis;

    /** When the read of the service began of which the local items are the result; none if they are from elsewhere. */
    private OptionalLong readBeganAtMillis = OptionalLong.empty();
    /** When the changes that are being passed on were written at the earliest; none if unknown. */
    private OptionalLong changesWrittenSinceMillis = OptionalLong.empty();

    private long refusedItems;
    private long revisionsAhead;

    ItemFeed(
            FrontSettings settings,
            MemberTable members,
            ItemMirror mirror,
            PeerItemSource peers,
            Ticker ticker,
            Random random) {
        this.settings = settings;
        service = new PublisherAvailability(settings.targetHeartbeatMillis());
        role = new WatcherRole(settings, members, ticker);
        this.members = members;
        this.mirror = mirror;
        this.peers = peers;
        this.ticker = ticker;
        this.random = random;
    }

    /**
     * Sets the listener for changes and replaces the previous one.
     *
     * @param newListener the listener, called on the front's thread
     */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Sets the listener for changes and passes it the items that came before, from peers.
     *
     * @param newListener the listener, called on the front's thread, as this method is
     */
    public void listenFromBeginning(Listener newListener) {
        listener = newListener;
        long readableForMillis = readableForMillis();
        List.copyOf(mirror.all()).forEach(value -> notifyChange(value, false, readableForMillis));
    }

    /**
     * Sets the listener for copies between which items may have come and gone unnoticed.
     *
     * @param newListener receives true for the first copy
     */
    void onObservationBegan(Consumer<Boolean> newListener) {
        observationListener = newListener;
    }

    /**
     * Returns the revision of the local items.
     *
     * @return revision; 0 before the first snapshot
     */
    public long revision() {
        return mirror.revision();
    }

    /**
     * Tells whether one of the local items was created or last written at a revision, so that this change was no
     * removal.
     *
     * @param revision revision of the change
     * @return true if there is such an item
     */
    public boolean holdsChange(long revision) {
        return mirror.all().stream()
                .anyMatch(value -> value.revision() == revision || value.createdRevision() == revision);
    }

    @Override
    public long ageMillis() {
        return ticker.nowMillis() - confirmedAtMillis;
    }

    /**
     * Tells whether this process is to watch the publishing service itself.
     *
     * @return true for the first processes of the data centre by name, in a small fleet, and after a takeover
     */
    public boolean shouldWatch() {
        return role.shouldWatch();
    }

    /**
     * Returns the pause after a watch before the next one begins.
     *
     * @param changed true if the watch returned changes; after one that expired, peers are about to take the items for
     *     stale
     * @return time in milliseconds
     */
    public long watchPauseMillis(boolean changed) {
        return role.pauseMillis(changed);
    }

    /**
     * Replaces the local items with a snapshot read from the service.
     *
     * @param all all published items
     * @param revision revision up to which the snapshot is complete
     */
    public void applySnapshot(Collection<PublishedValue> all, long revision) {
        boolean afterInitialSnapshot = mirror.revision() > 0;
        recordServiceRead(ticker.nowMillis());
        if (revision > mirror.revision()) {
            observationListener.accept(!afterInitialSnapshot);
        }
        notifyChanges(mirror.replace(all, revision), afterInitialSnapshot);
    }

    /**
     * Applies the events that a watch of the service returned.
     *
     * @param events changes in order; empty when nothing changed
     * @param revision revision up to which the events are complete
     */
    public void applyWatchEvents(Collection<PublishedValue> events, long revision) {
        applyWatchEvents(events, revision, ticker.nowMillis());
    }

    /**
     * Applies the events that a watch of the service returned.
     *
     * @param events changes in order; empty when nothing changed
     * @param revision revision up to which the events are complete
     * @param askedAtMillis monotonic time in milliseconds at which the watch began; the service was there from then on
     */
    public void applyWatchEvents(Collection<PublishedValue> events, long revision, long askedAtMillis) {
        recordServiceRead(askedAtMillis);
        List<PublishedValue> changed = mirror.apply(events, revision);
        changesWrittenSinceMillis = readBeganAtMillis;
        notifyChanges(changed, true);
        changesWrittenSinceMillis = OptionalLong.empty();
        // An answer without anything new that comes at once may be a second one to an earlier call.
        if (!changed.isEmpty() || ticker.nowMillis() - askedAtMillis >= MIN_HELD_MILLIS) {
            readBeganAtMillis = OptionalLong.of(askedAtMillis);
        }
    }

    /**
     * Applies changes that were read from the service beside the watch, which goes on and may deliver them once more.
     *
     * @param changes changes in order; empty when nothing changed
     * @param revision revision up to which the changes are complete
     * @param askedAtMillis monotonic time in milliseconds at which the read began
     */
    public void applyRead(Collection<PublishedValue> changes, long revision, long askedAtMillis) {
        confirmedAtMillis = Math.max(confirmedAtMillis, askedAtMillis);
        notifyChanges(mirror.apply(changes, revision), true);
    }

    /**
     * Returns when the changes that are being passed on to the listener were written. The read before showed all that
     * the service held when that read began, so what a later one shows was written after that.
     *
     * @return monotonic time in milliseconds at or after which they were written; {@link Long#MIN_VALUE} if unknown
     */
    long changesWrittenSinceMillis() {
        return changesWrittenSinceMillis.orElse(Long.MIN_VALUE);
    }

    /**
     * Records at which revision a watch of the service began and was answered. The service's revision never falls, so
     * items at a higher one came from elsewhere, and hide its changes.
     *
     * @param itemsRevision revision of the local items when the watch began
     * @param serviceRevision revision of the service when it answered
     */
    public void watchAnswered(long itemsRevision, long serviceRevision) {
        boolean wasAhead = revisionsAhead > 0;
        revisionsAhead = Math.max(0, itemsRevision - serviceRevision);
        if (revisionsAhead > 0 && !wasAhead) {
            EventLog.event(LogEvent.ITEMS_AHEAD)
                    .with(EventField.REVISION, itemsRevision)
                    .with(EventField.REASON, "service at " + serviceRevision)
                    .call();
        }
    }

    /** Returns by how many revisions the items were ahead of the service when it answered last. */
    long revisionsAhead() {
        return revisionsAhead;
    }

    /**
     * Records a failed read of the service.
     *
     * @param reason cause of the failure, for the log
     */
    public void serviceReadFailed(String reason) {
        if (service.readFailed(ticker.nowMillis())) {
            logSourceChange("service", "peers", reason);
        }
    }

    /**
     * Records that a watch which the service held was cut, so that the service was there until now.
     *
     * @param reason cause of the failure, for the log
     */
    public void serviceInterrupted(String reason) {
        service.held(ticker.nowMillis());
        serviceReadFailed(reason);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Checks the watcher role too: a process that has just lost it, such as the former third of its data centre,
     * read the service a moment ago but gets no further events.
     */
    @Override
    public boolean watchHealthy() {
        return service.readable()
                && ticker.nowMillis() - lastServiceReadAtMillis <= WATCH_TIMEOUT_MILLIS
                && shouldWatch();
    }

    /**
     * Handles a report of a peer and requests its items when they are newer.
     *
     * <p>The peer whose answer is awaited may itself be cut off from the service and hold no newer items, so this
     * request does not wait for it.
     */
    void reportReceived(MemberReport report) {
        watchingByIp.remove(report.getIp());
        if (report.getRevision() <= mirror.revision()) {
            return;
        }
        if (newerPeerRevision <= mirror.revision()) {
            behindSinceMillis = ticker.nowMillis();
        }
        newerPeerIp = report.getIp();
        newerPeerRevision = report.getRevision();
        catchUp();
    }

    /** Requests newer items from the peer that reported them, unless the local watch is about to deliver them. */
    private void catchUp() {
        if (catchUpInFlight || newerPeerIp.isEmpty() || newerPeerRevision <= mirror.revision()) {
            return;
        }
        long behindMillis = ticker.nowMillis() - behindSinceMillis;
        if (behindMillis < WATCH_CATCH_UP_MILLIS && watchHealthy()) {
            return;
        }
        catchUpInFlight = true;
        String requestedIp = newerPeerIp;
        peers.requestChanges(requestedIp, settings.peerPort(), 0, answer -> {
            catchUpInFlight = false;
            answer.ifPresent(this::applyPeerAnswer);
            if (answer.isEmpty() && requestedIp.equals(newerPeerIp)) {
                // The next report of a peer with newer items selects another one.
                newerPeerIp = "";
            }
        });
    }

    /** Requests items from peers when they have newer ones or when the local watch does not work. */
    void tick() {
        if (mirror.revision() > 0) {
            role.takeOverIfStale(ageMillis());
        }
        catchUp();
        if (pollInFlight || watchHealthy()) {
            return;
        }
        Optional<Member> peer = selectPeer();
        if (peer.isEmpty()) {
            return;
        }
        pollInFlight = true;
        lastPeerIp = peer.get().report().getIp();
        String requestedIp = lastPeerIp;
        peers.requestChanges(requestedIp, settings.peerPort(), PEER_LONG_POLL_MILLIS, answer -> {
            pollInFlight = false;
            answer.ifPresentOrElse(this::applyPeerAnswer, () -> lastPeerIp = "");
            answer.ifPresent(received -> recordPeerState(requestedIp, received));
        });
    }

    /**
     * Records whether a peer watches the service and whether its items are stale. A peer with current items clears the
     * record of stale peers, because those may have reached the service again as well.
     */
    private void recordPeerState(String peerIp, ItemsAnswer answer) {
        if (answer.hasWatching()) {
            watchingByIp.put(peerIp, answer.getWatching());
        }
        if (answer.getAgeMillis() > WATCH_TIMEOUT_MILLIS) {
            stalePeerIps.add(peerIp);
        } else {
            stalePeerIps.clear();
        }
    }

    private boolean isWatching(MemberReport peer) {
        return watchingByIp.getOrDefault(peer.getIp(), peer.getWatching());
    }

    private Optional<Member> selectPeer() {
        List<Member> candidates = members.alive(ticker.nowMillis());
        Collections.shuffle(candidates, random);
        Comparator<Member> preference = Comparator.comparing(
                        (Member member) -> member.report().getRevision() <= mirror.revision())
                .thenComparing(member -> stalePeerIps.contains(member.report().getIp()))
                .thenComparing(member -> !isWatching(member.report()))
                .thenComparing(member -> !member.report().getDataCentre().equals(settings.dataCentre()))
                .thenComparing(member -> !member.report().getIp().equals(lastPeerIp));
        return candidates.stream()
                .filter(member -> member.report().getRevision() >= mirror.revision()
                        && member.report().getRevision() > 0)
                .min(preference);
    }

    private void applyPeerAnswer(ItemsAnswer answer) {
        long nowMillis = ticker.nowMillis();
        List<PublishedValue> values = PeerItems.toPublishedValues(answer.getItemsList());
        // Changes of a peer hold only the newest state of each item.
        boolean late = nowMillis - confirmedAtMillis > MAX_PEER_CHANGES_MILLIS;
        boolean gap =
                answer.getRevision() > mirror.revision() && (answer.getComplete() || late || mirror.missedItem(values));
        if (gap) {
            observationListener.accept(mirror.revision() == 0);
        }
        confirmedAtMillis = Math.max(confirmedAtMillis, nowMillis - answer.getAgeMillis());
        service.peerReported(answer, nowMillis);
        boolean afterInitialSnapshot = mirror.revision() > 0;
        notifyChanges(
                answer.getComplete()
                        ? mirror.replace(values, answer.getRevision())
                        : mirror.apply(values, answer.getRevision()),
                afterInitialSnapshot);
    }

    private void recordServiceRead(long askedAtMillis) {
        long nowMillis = ticker.nowMillis();
        // No call is held for so long: the answer waited for this process, and only the call has a known time.
        boolean readLate = nowMillis - askedAtMillis > WATCH_TIMEOUT_MILLIS;
        lastServiceReadAtMillis = readLate ? askedAtMillis : nowMillis;
        confirmedAtMillis = Math.max(confirmedAtMillis, lastServiceReadAtMillis);
        if (service.readSucceeded(nowMillis, askedAtMillis)) {
            logSourceChange("peers", "service", "");
        }
    }

    @Override
    public long readableForMillis() {
        return service.readableForMillis(ticker.nowMillis(), watchHealthy());
    }

    private void logSourceChange(String from, String to, String reason) {
        EventLog.event(LogEvent.ITEMS_SOURCE)
                .with(EventField.FROM, from)
                .with(EventField.TO, to)
                .with(EventField.REVISION, mirror.revision())
                .with(EventField.REASON, reason)
                .call();
    }

    private void notifyChanges(List<PublishedValue> changed, boolean afterInitialSnapshot) {
        long readableForMillis = readableForMillis();
        changed.forEach(value -> notifyChange(value, afterInitialSnapshot, readableForMillis));
        if (!changed.isEmpty()) {
            peers.itemsChanged();
        }
    }

    /** Passes one change on. A failure concerns this item alone: the mirror holds the others, so none comes again. */
    private void notifyChange(PublishedValue value, boolean afterInitialSnapshot, long readableForMillis) {
        try {
            listener.itemChanged(value, afterInitialSnapshot, readableForMillis);
        } catch (RuntimeException e) {
            itemRefused(value, String.valueOf(e));
        }
    }

    /**
     * Records an item that is not used.
     *
     * @param value the item
     * @param reason why it is not used, for the log
     */
    public void itemRefused(PublishedValue value, String reason) {
        refusedItems++;
        EventLog.event(LogEvent.ITEM_REFUSED)
                .with(EventField.NAME, value.key())
                .with(EventField.REVISION, value.revision())
                .with(EventField.REASON, reason)
                .call();
    }

    /** Returns the number of items that were not used. */
    long refusedItems() {
        return refusedItems;
    }
}
