package org.whinwharf.front;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
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
 * Keeps the published items up to date, from the publishing service or else from peers.
 *
 * <p>A process whose own watch fails would go on with revoked keys and old routes while its peers know better. It asks
 * them instead, and goes back to its own watch when that works again. In a large fleet only a few processes of each
 * data centre watch at all, since the service's reads grow more slowly than the fleet; the others ask those.
 */
public final class ItemFeed implements ItemFreshness {
    /** Silence of the own watch after which peers are asked; a watch answers at least this often. */
    private static final long WATCH_TIMEOUT_MILLIS = 2_900;
    /**
     * Time within which a watch that works brings what a peer knows already: twice the pause between watches. What is
     * left of the bound on a change has to do for the question to that peer, on a host that is slow.
     */
    private static final long WATCH_CATCH_UP_MILLIS = 400;
    /** Time a peer may keep a question waiting. */
    private static final long PEER_LONG_POLL_MILLIS = 1_000;
    /** Fleet size up to which every process watches. */
    private static final int SMALL_FLEET_LIMIT = 12;
    /** Watching processes in each data centre of a larger fleet: one may fail and one be replaced meanwhile. */
    private static final int WATCHERS_PER_DATA_CENTRE = 3;

    /** Age of the items that a watch, the pause after it and a peer's question together do not explain. */
    private static final long STALE_THRESHOLD_MILLIS = 4_750;
    /** Time after which the next process takes over too, longer than a first answer takes to reach it. */
    private static final long TAKE_OVER_STAGGER_MILLIS = 500;
    /** Time for which a process that took over watches. */
    private static final long TAKE_OVER_DURATION_MILLIS = 10_000;

    /** Takes changes of published items. */
    public interface Listener {
        /**
         * Takes one change.
         *
         * @param value the item or its removal
         * @param duringService false while the first copy is read
         * @param readableForMillis time for which the service has been readable again, 0 while it is not;
         *     {@link Long#MAX_VALUE} when it always was, or that is long ago
         */
        void itemChanged(PublishedValue value, boolean duringService, long readableForMillis);
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final ItemMirror mirror;
    private final PeerItemSource peers;
    private final Ticker ticker;
    private final Random random;
    private final PublisherAvailability service = new PublisherAvailability();
    private Listener listener = (value, duringService, readableForMillis) -> {};
    private long lastServiceReadAtMillis = Long.MIN_VALUE / 2;
    private long confirmedAtMillis;
    private long takenOverUntilMillis = Long.MIN_VALUE;
    private boolean pollInFlight;
    private boolean catchUpInFlight;
    private String lastPeerIp = "";
    /** Whether peers watch, as they said in answers since their last report. */
    private final Map<String, Boolean> watchingByIp = new HashMap<>();
    /** Peers that last said that they had not heard of the service for long. */
    private final Set<String> stalePeerIps = new HashSet<>();
    /** A peer that knows newer items; empty when none is known. */
    private String newerPeerIp = "";
    /** Revision that it holds. */
    private long newerPeerRevision;
    /** Steady time since which peers have known more. */
    private long behindSinceMillis;

    ItemFeed(
            FrontSettings settings,
            MemberTable members,
            ItemMirror mirror,
            PeerItemSource peers,
            Ticker ticker,
            Random random) {
        this.settings = settings;
        this.members = members;
        this.mirror = mirror;
        this.peers = peers;
        this.ticker = ticker;
        this.random = random;
    }

    /**
     * Sets who takes the changes.
     *
     * @param taker the listener, called on the front's thread
     */
    public void listener(Listener taker) {
        listener = taker;
    }

    /**
     * Returns the revision up to which the items are known.
     *
     * @return revision; 0 before the first copy
     */
    public long revision() {
        return mirror.revision();
    }

    @Override
    public long ageMillis() {
        return ticker.nowMillis() - confirmedAtMillis;
    }

    /**
     * Tells whether this process should watch the service itself.
     *
     * @return true when it should
     */
    public boolean shouldWatch() {
        return ticker.nowMillis() < takenOverUntilMillis || watchRank() < WATCHERS_PER_DATA_CENTRE;
    }

    /** Returns how many processes of this data centre watch before this one does; 0 in a small fleet. */
    private int watchRank() {
        List<Member> alive = members.alive(ticker.nowMillis());
        if (alive.size() < SMALL_FLEET_LIMIT) {
            return 0;
        }
        int ahead = 0;
        for (Member member : alive) {
            MemberReport report = member.report();
            boolean sameDataCentre = report.getDataCentre().equals(settings.dataCentre());
            if (sameDataCentre && report.getName().compareTo(settings.name()) < 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /**
     * Begins to watch when nobody seems to. Those whose turn it is by name may all be cut off; the next ones begin one
     * after the other, until one has an answer.
     */
    private void takeOverIfStale() {
        if (mirror.revision() == 0 || ageMillis() <= STALE_THRESHOLD_MILLIS) {
            return;
        }
        int turn = Math.max(0, watchRank() - WATCHERS_PER_DATA_CENTRE);
        if (ageMillis() > STALE_THRESHOLD_MILLIS + turn * TAKE_OVER_STAGGER_MILLIS) {
            takenOverUntilMillis = ticker.nowMillis() + TAKE_OVER_DURATION_MILLIS;
        }
    }

    /**
     * Takes everything that the service publishes.
     *
     * @param all all items
     * @param revision revision up to which they are complete
     */
    public void applySnapshot(Collection<PublishedValue> all, long revision) {
        boolean duringService = mirror.revision() > 0;
        recordServiceRead();
        notifyChanges(mirror.replace(all, revision), duringService);
    }

    /**
     * Takes what a watch of the service returned; no events mean that nothing changed.
     *
     * @param events changes, in order
     * @param revision revision up to which they are complete
     */
    public void applyWatchEvents(Collection<PublishedValue> events, long revision) {
        recordServiceRead();
        notifyChanges(mirror.apply(events, revision), true);
    }

    /**
     * Takes that the service could not be read.
     *
     * @param reason what was seen
     */
    public void serviceReadFailed(String reason) {
        if (service.readFailed(ticker.nowMillis())) {
            logSourceChange("service", "peers", reason);
        }
    }

    /**
     * Tells whether the own watch works and goes on. A process that was the third of its data centre and is no longer
     * has just heard from the service, and hears nothing more.
     */
    @Override
    public boolean watchHealthy() {
        return service.readable()
                && ticker.nowMillis() - lastServiceReadAtMillis <= WATCH_TIMEOUT_MILLIS
                && shouldWatch();
    }

    /**
     * Takes a peer's report. The peer that this process waits for may itself be cut off from the service and know no
     * better; one that says that it knows newer items is asked for them.
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

    /** Asks a peer that knows newer items, unless the own watch may bring them any moment. */
    private void catchUp() {
        if (catchUpInFlight || newerPeerIp.isEmpty() || newerPeerRevision <= mirror.revision()) {
            return;
        }
        long behindMillis = ticker.nowMillis() - behindSinceMillis;
        if (behindMillis < WATCH_CATCH_UP_MILLIS && watchHealthy()) {
            return;
        }
        catchUpInFlight = true;
        String askedIp = newerPeerIp;
        peers.requestChanges(askedIp, settings.peerPort(), 0, answer -> {
            catchUpInFlight = false;
            answer.ifPresent(this::applyPeerAnswer);
            if (answer.isEmpty() && askedIp.equals(newerPeerIp)) {
                // The next report of any peer that knows more names another.
                newerPeerIp = "";
            }
        });
    }

    /** Asks peers when they know more, or when the own watch does not work. */
    void tick() {
        takeOverIfStale();
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
        String askedIp = lastPeerIp;
        peers.requestChanges(askedIp, settings.peerPort(), PEER_LONG_POLL_MILLIS, answer -> {
            pollInFlight = false;
            answer.ifPresentOrElse(this::applyPeerAnswer, () -> lastPeerIp = "");
            answer.ifPresent(taken -> recordPeerState(askedIp, taken));
        });
    }

    /** Notes how good a source a peer is; once one is in touch, the others may be as well. */
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
        Comparator<Member> order = Comparator.comparing(
                        (Member member) -> member.report().getRevision() <= mirror.revision())
                .thenComparing(member -> stalePeerIps.contains(member.report().getIp()))
                .thenComparing(member -> !isWatching(member.report()))
                .thenComparing(member -> !member.report().getDataCentre().equals(settings.dataCentre()))
                .thenComparing(member -> !member.report().getIp().equals(lastPeerIp));
        return candidates.stream()
                .filter(member -> member.report().getRevision() >= mirror.revision()
                        && member.report().getRevision() > 0)
                .min(order);
    }

    private void applyPeerAnswer(ItemsAnswer answer) {
        long nowMillis = ticker.nowMillis();
        confirmedAtMillis = Math.max(confirmedAtMillis, nowMillis - answer.getAgeMillis());
        service.peerReported(answer, nowMillis);
        boolean duringService = mirror.revision() > 0;
        List<PublishedValue> values = PeerItems.toPublishedValues(answer.getItemsList());
        notifyChanges(
                answer.getComplete()
                        ? mirror.replace(values, answer.getRevision())
                        : mirror.apply(values, answer.getRevision()),
                duringService);
    }

    private void recordServiceRead() {
        lastServiceReadAtMillis = ticker.nowMillis();
        confirmedAtMillis = lastServiceReadAtMillis;
        if (service.readSucceeded(lastServiceReadAtMillis)) {
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

    private void notifyChanges(List<PublishedValue> changed, boolean duringService) {
        long readableForMillis = readableForMillis();
        changed.forEach(value -> listener.itemChanged(value, duringService, readableForMillis));
        if (!changed.isEmpty()) {
            peers.itemsChanged();
        }
    }
}
