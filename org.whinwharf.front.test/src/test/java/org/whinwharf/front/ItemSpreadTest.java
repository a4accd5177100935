package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberHeartbeat;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.PublishedItem;

/**
 * Measures on a simulated clock how long changes take to reach the last front of a fleet of ninety fronts in five data
 * centres.
 *
 * <p>Shortly before the changes about a third of the fronts, watchers included, is cut off from the publishing service,
 * and every front processes messages with the delay of a small host.
 */
class ItemSpreadTest {
    private static final int FRONTS = 90;
    private static final int DATA_CENTRES = 5;
    /** Limit for applying a change. */
    private static final long APPLY_LIMIT_MILLIS = 3_000;
    /** Limit for applying a change in the largest fleet that the design supports. */
    private static final long LARGEST_FLEET_APPLY_LIMIT_MILLIS = 6_000;

    private static final long OUTAGE_AT_MILLIS = 10_000;
    /** Time from the start of the outage until the first change is sent. */
    private static final long FIRST_CHANGE_DELAY_MILLIS = 80;

    private static final int VERSIONS = 3;
    private static final int SEEDS = 6;
    private static final double CUT_OFF_RATIO = 0.3;
    private static final double DATAGRAM_LOSS_RATIO = 0.025;
    private static final int DOCUMENT_BYTES = 30_000;
    private static final double LINK_BYTES_PER_MILLI = 875;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedFront> fronts = new ArrayList<>();
    private final Map<String, SimulatedFront> byIp = new HashMap<>();
    private final List<PublishedValue> published = new ArrayList<>();
    private Random random;
    private long nowMillis;
    private long nextEvent;
    private int unassignedWatches;

    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Selects the fronts that are cut off from the service, and how their requests to it fail. */
    enum Outage {
        RESET,
        SILENT,
        NONE,
        /** Only the designated watchers are cut off; their requests time out. */
        ALL_WATCHERS
    }

    /** Guards against fronts that keep an old configuration because they or the peers they poll are cut off. */
    @ParameterizedTest
    @CsvSource({"RESET, 100, 65", "SILENT, 0, 65", "SILENT, 250, 65", "RESET, 100, 1360", "SILENT, 250, 1360"})
    void changesReachEveryFrontWithinLimit(Outage outage, int maxDelayMillis, long confirmedAfterMillis) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            long[] worstMillis = simulate(outage, maxDelayMillis, confirmedAfterMillis, seed);
            assertThat(
                    "seed " + seed + ", by version " + Arrays.toString(worstMillis),
                    max(worstMillis),
                    lessThanOrEqualTo(APPLY_LIMIT_MILLIS));
        }
    }

    /** Guards against a fleet that receives no changes when all watchers, and only they, are cut off. */
    @Test
    void changesArriveWhenAllWatchersAreCutOff() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            long[] worstMillis = simulate(Outage.ALL_WATCHERS, 100, 65, seed);
            assertThat("seed " + seed, max(worstMillis), lessThanOrEqualTo(LARGEST_FLEET_APPLY_LIMIT_MILLIS));
        }
    }

    /**
     * Guards against more watches than agreed, which the service counts, in a fleet without changes for a long time.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 250})
    void onlyAssignedWatchersWatchWhileConnected(int maxDelayMillis) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            simulate(Outage.NONE, maxDelayMillis, 65, seed);
            assertThat("seed " + seed, unassignedWatches, is(0));
        }
    }

    private static long max(long[] values) {
        return Arrays.stream(values).max().orElseThrow();
    }

    /** Returns for each version the time in milliseconds from its confirmation until the last front received it. */
    private long[] simulate(Outage outage, int maxDelayMillis, long confirmedAfterMillis, int seed) {
        random = new Random(seed);
        nowMillis = 0;
        unassignedWatches = 0;
        events.clear();
        fronts.clear();
        byIp.clear();
        published.clear();
        published.add(document(1));
        for (int i = 0; i < FRONTS; i++) {
            SimulatedFront front = new SimulatedFront(i, outage, maxDelayMillis);
            fronts.add(front);
            byIp.put(front.ip, front);
        }
        fronts.forEach(SimulatedFront::start);
        long[] confirmedAtMillis = new long[VERSIONS];
        for (int i = 0; i < VERSIONS; i++) {
            int version = i;
            confirmedAtMillis[i] = OUTAGE_AT_MILLIS + FIRST_CHANGE_DELAY_MILLIS + (i + 1) * confirmedAfterMillis;
            schedule(confirmedAtMillis[i], () -> publish(document(2 + version)));
        }
        long[] worstMillis = new long[VERSIONS];
        long endMillis = confirmedAtMillis[VERSIONS - 1] + 4 * APPLY_LIMIT_MILLIS;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        for (SimulatedFront front : fronts) {
            for (int i = 0; i < VERSIONS; i++) {
                worstMillis[i] = Math.max(worstMillis[i], front.receivedAtMillis[i] - confirmedAtMillis[i]);
            }
        }
        return worstMillis;
    }

    private void publish(PublishedValue value) {
        published.add(value);
        fronts.forEach(SimulatedFront::servicePublished);
    }

    private static PublishedValue document(long revision) {
        return new PublishedValue("configuration", new byte[1], revision);
    }

    private long newestRevision() {
        return published.get(published.size() - 1).revision();
    }

    private void schedule(long atMillis, Runnable action) {
        events.add(new Event(Math.max(atMillis, nowMillis), nextEvent++, action));
    }

    /** Simulates a front: its gossip, its watch and its requests to peers, with the timing of a real process. */
    private final class SimulatedFront implements PeerItemSource {
        private static final long GOSSIP_INTERVAL_MILLIS = 300;
        private static final long TICK_INTERVAL_MILLIS = 250;
        private static final long WATCH_LONG_POLL_MILLIS = 2_000;
        private static final long WATCH_MARGIN_MILLIS = 700;
        private static final long RETRY_DELAY_MILLIS = 400;
        private static final long ANSWER_MARGIN_MILLIS = 500;
        private static final long NETWORK_DELAY_MILLIS = 2;

        private final String name;
        private final String ip;
        private final String dataCentre;
        private final boolean assignedWatcher;
        private final boolean cutOff;
        private final Outage outage;
        private final int maxDelayMillis;
        private final MemberTable members;
        private final ItemMirror mirror = new ItemMirror();
        private final ItemFeed feed;
        private final long[] receivedAtMillis = new long[VERSIONS];
        private final List<Runnable> pendingAnswers = new ArrayList<>();
        private Runnable watchAnswer = () -> {};
        private double linkFreeAtMillis;

        SimulatedFront(int number, Outage outage, int maxDelayMillis) {
            this.outage = outage;
            this.maxDelayMillis = maxDelayMillis;
            dataCentre = "dc" + number % DATA_CENTRES;
            name = "front-" + dataCentre + "-" + number / DATA_CENTRES;
            ip = "10.0.0." + number;
            int inDataCentre = number / DATA_CENTRES;
            // The first three by name are 0, 1 and 10.
            boolean watcher = inDataCentre < 2 || inDataCentre == 10;
            assignedWatcher = watcher;
            cutOff = switch (outage) {
                case NONE -> false;
                case ALL_WATCHERS -> watcher;
                case RESET, SILENT -> random.nextDouble() < CUT_OFF_RATIO;
            };
            members = new MemberTable(report());
            Arrays.fill(receivedAtMillis, Long.MAX_VALUE / 2);
            feed = new ItemFeed(
                    FeedFixture.settings(name, ip, dataCentre), members, mirror, this, () -> nowMillis, random);
            feed.listener((value, afterInitialSnapshot, readable) -> {
                for (int version = 0; version < VERSIONS && version + 2 <= value.revision(); version++) {
                    receivedAtMillis[version] = Math.min(receivedAtMillis[version], nowMillis);
                }
            });
        }

        private MemberReport report() {
            return MemberReport.newBuilder()
                    .setName(name)
                    .setIp(ip)
                    .setDataCentre(dataCentre)
                    .setIncarnation(1)
                    .setPhase(MemberPhase.MEMBER_SERVING)
                    .setRevision(mirror.revision())
                    .setWatching(feed != null && feed.watchHealthy())
                    .build();
        }

        void start() {
            for (SimulatedFront other : fronts) {
                members.receive(other.report(), 0);
            }
            schedule(random.nextInt((int) GOSSIP_INTERVAL_MILLIS), this::gossip);
            schedule(random.nextInt((int) TICK_INTERVAL_MILLIS), this::tick);
            schedule(random.nextInt((int) WATCH_LONG_POLL_MILLIS), this::copy);
        }

        private long arrivalMillis() {
            return nowMillis + NETWORK_DELAY_MILLIS + (maxDelayMillis == 0 ? 0 : random.nextInt(maxDelayMillis));
        }

        private void gossip() {
            members.updateLocalReport(report().toBuilder());
            MemberReport localReport = members.localReport();
            List<MemberHeartbeat> heartbeats = members.heartbeats(90, nowMillis);
            List<Member> alive = members.alive(nowMillis);
            for (int i = 0; i < 2 && !alive.isEmpty(); i++) {
                SimulatedFront receiver = byIp.get(
                        alive.get(random.nextInt(alive.size())).report().getIp());
                if (random.nextDouble() >= DATAGRAM_LOSS_RATIO) {
                    schedule(arrivalMillis(), () -> receiver.receiveGossip(localReport, heartbeats));
                }
            }
            schedule(nowMillis + GOSSIP_INTERVAL_MILLIS, this::gossip);
        }

        private void receiveGossip(MemberReport report, List<MemberHeartbeat> heartbeats) {
            if (members.receive(report, nowMillis)) {
                feed.reportReceived(report);
            }
            heartbeats.forEach(heartbeat -> members.receive(heartbeat, nowMillis));
        }

        private void tick() {
            feed.tick();
            schedule(nowMillis + TICK_INTERVAL_MILLIS, this::tick);
        }

        private boolean serviceUnreachable() {
            return cutOff && nowMillis >= OUTAGE_AT_MILLIS;
        }

        private void copy() {
            feed.applySnapshot(published, newestRevision());
            watch();
        }

        private void watch() {
            if (!feed.shouldWatch()) {
                schedule(nowMillis + RETRY_DELAY_MILLIS, this::watch);
                return;
            }
            if (!assignedWatcher) {
                unassignedWatches++;
            }
            if (serviceUnreachable()) {
                schedule(
                        nowMillis
                                + (outage == Outage.RESET
                                        ? NETWORK_DELAY_MILLIS
                                        : WATCH_LONG_POLL_MILLIS + WATCH_MARGIN_MILLIS),
                        this::watchFailed);
                return;
            }
            Runnable[] answer = new Runnable[1];
            answer[0] = () -> {
                if (watchAnswer == answer[0]) {
                    watchAnswer = () -> {};
                    schedule(answerArrivalMillis(newestRevision() > mirror.revision()), this::watchAnswered);
                }
            };
            watchAnswer = answer[0];
            if (newestRevision() > mirror.revision()) {
                answer[0].run();
            } else {
                long startMillis = nowMillis;
                schedule(nowMillis + WATCH_LONG_POLL_MILLIS, () -> {
                    if (watchAnswer == answer[0] && !serviceUnreachable()) {
                        answer[0].run();
                    } else if (watchAnswer == answer[0]) {
                        long failureAtMillis = outage == Outage.RESET
                                ? nowMillis
                                : startMillis + WATCH_LONG_POLL_MILLIS + WATCH_MARGIN_MILLIS;
                        watchAnswer = () -> {};
                        schedule(failureAtMillis, this::watchFailed);
                    }
                });
            }
        }

        void servicePublished() {
            if (!serviceUnreachable()) {
                watchAnswer.run();
            }
        }

        private void watchAnswered() {
            boolean changed = newestRevision() > mirror.revision();
            feed.applyWatchEvents(published, newestRevision());
            schedule(nowMillis + feed.watchPauseMillis(changed), this::watch);
        }

        private void watchFailed() {
            feed.serviceReadFailed("cut");
            schedule(nowMillis + RETRY_DELAY_MILLIS, this::watch);
        }

        /** Returns the time at which an answer sent now arrives over this front's link. */
        private long answerArrivalMillis(boolean document) {
            linkFreeAtMillis = Math.max(linkFreeAtMillis, nowMillis);
            linkFreeAtMillis += (document ? DOCUMENT_BYTES : 200) / LINK_BYTES_PER_MILLI;
            return (long) linkFreeAtMillis + (arrivalMillis() - nowMillis);
        }

        @Override
        public void requestChanges(String peerIp, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> callback) {
            boolean[] completed = new boolean[1];
            Consumer<Optional<ItemsAnswer>> completeOnce = answer -> {
                if (!completed[0]) {
                    completed[0] = true;
                    callback.accept(answer);
                }
            };
            SimulatedFront peer = byIp.get(peerIp);
            long afterRevision = mirror.revision();
            schedule(arrivalMillis(), () -> peer.receiveRequest(this, afterRevision, waitMillis, completeOnce));
            schedule(nowMillis + waitMillis + ANSWER_MARGIN_MILLIS, () -> completeOnce.accept(Optional.empty()));
        }

        private void receiveRequest(
                SimulatedFront requester,
                long afterRevision,
                long waitMillis,
                Consumer<Optional<ItemsAnswer>> callback) {
            boolean[] answered = new boolean[1];
            Runnable answer = () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    ItemsAnswer sent = answerAfter(afterRevision);
                    schedule(answerArrivalMillis(sent.getItemsCount() > 0), () -> callback.accept(Optional.of(sent)));
                }
            };
            if (mirror.revision() > afterRevision || waitMillis == 0) {
                answer.run();
            } else {
                pendingAnswers.add(answer);
                schedule(nowMillis + waitMillis, answer);
            }
        }

        private ItemsAnswer answerAfter(long afterRevision) {
            Optional<List<PublishedValue>> changes = mirror.changesAfter(afterRevision);
            ItemsAnswer.Builder answer = ItemsAnswer.newBuilder()
                    .setRevision(mirror.revision())
                    .setComplete(changes.isEmpty())
                    .setAgeMillis((int) feed.ageMillis())
                    .setWatching(feed.watchHealthy());
            for (PublishedValue value : changes.isPresent() ? changes.get() : mirror.all()) {
                answer.addItems(PublishedItem.newBuilder().setKey(value.key()).setRevision(value.revision()));
            }
            return answer.build();
        }

        @Override
        public void itemsChanged() {
            List<Runnable> ready = List.copyOf(pendingAnswers);
            pendingAnswers.clear();
            ready.forEach(Runnable::run);
        }
    }
}
