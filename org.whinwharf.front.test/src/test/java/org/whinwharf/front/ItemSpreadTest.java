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
import org.whinwharf.traffic.member.Beat;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.PublishedItem;

/**
 * How long changes take to reach the last front of a fleet of ninety in five data centres, on a driven clock.
 *
 * <p>A third of the fronts loses the publishing service shortly before, watchers among them, and every front works on
 * what reaches it with the delay of a small host.
 */
class ItemSpreadTest {
    private static final int FRONTS = 90;
    private static final int DATA_CENTRES = 5;
    /** Time within which a change must be in force. */
    private static final long APPLY_MILLIS = 3_000;
    /** The same for the largest fleet that is designed for. */
    private static final long LARGEST_FLEET_APPLY_MILLIS = 6_000;

    private static final long CUT_AT_MILLIS = 10_000;
    /** Time from the cut until the first change is on its way. */
    private static final long FIRST_SENT_AFTER_MILLIS = 80;

    private static final int VERSIONS = 3;
    private static final int SEEDS = 6;
    private static final double CUT_SHARE = 0.3;
    private static final double LOSS = 0.025;
    private static final int DOCUMENT_BYTES = 30_000;
    private static final double LINK_BYTES_PER_MILLI = 875;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<ModelFront> fronts = new ArrayList<>();
    private final Map<String, ModelFront> byIp = new HashMap<>();
    private final List<PublishedValue> published = new ArrayList<>();
    private Random random;
    private long nowMillis;
    private long nextEvent;
    private int watchesOutOfTurn;

    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Who is cut off from the service, and how it answers them. */
    enum Cut {
        RESET,
        SILENT,
        NOBODY,
        /** Nobody but those whose turn it is to watch, and without a word. */
        ALL_WATCHERS
    }

    /** Guards against fronts that go on by an old configuration, since they or those they ask are cut off. */
    @ParameterizedTest
    @CsvSource({"RESET, 100, 65", "SILENT, 0, 65", "SILENT, 250, 65", "RESET, 100, 1360", "SILENT, 250, 1360"})
    void changesReachEveryFrontInTime(Cut cut, int lateMillis, long confirmedAfterMillis) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            long[] worst = play(cut, lateMillis, confirmedAfterMillis, seed);
            assertThat(
                    "seed " + seed + ", by version " + Arrays.toString(worst),
                    max(worst),
                    lessThanOrEqualTo(APPLY_MILLIS));
        }
    }

    /** Guards against a fleet that hears nothing more, since all that watch are cut off and the others are not. */
    @Test
    void changesArriveThoughAllWatchersAreCutOff() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            long[] worst = play(Cut.ALL_WATCHERS, 100, 65, seed);
            assertThat("seed " + seed, max(worst), lessThanOrEqualTo(LARGEST_FLEET_APPLY_MILLIS));
        }
    }

    /**
     * Guards against more watches than agreed, which the service counts, in a fleet that hears of no change for long.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 250})
    void nobodyElseWatchesWhileThoseWhoseTurnItIsAreInTouch(int lateMillis) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            play(Cut.NOBODY, lateMillis, 65, seed);
            assertThat("seed " + seed, watchesOutOfTurn, is(0));
        }
    }

    private static long max(long[] values) {
        return Arrays.stream(values).max().orElseThrow();
    }

    /** Returns for each version how long after its confirmation the last front had it. */
    private long[] play(Cut cut, int lateMillis, long confirmedAfterMillis, int seed) {
        random = new Random(seed);
        nowMillis = 0;
        watchesOutOfTurn = 0;
        events.clear();
        fronts.clear();
        byIp.clear();
        published.clear();
        published.add(document(1));
        for (int i = 0; i < FRONTS; i++) {
            ModelFront front = new ModelFront(i, cut, lateMillis);
            fronts.add(front);
            byIp.put(front.ip, front);
        }
        fronts.forEach(ModelFront::start);
        long[] confirmedAtMillis = new long[VERSIONS];
        for (int i = 0; i < VERSIONS; i++) {
            int version = i;
            confirmedAtMillis[i] = CUT_AT_MILLIS + FIRST_SENT_AFTER_MILLIS + (i + 1) * confirmedAfterMillis;
            at(confirmedAtMillis[i], () -> publish(document(2 + version)));
        }
        long[] worst = new long[VERSIONS];
        long endMillis = confirmedAtMillis[VERSIONS - 1] + 4 * APPLY_MILLIS;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        for (ModelFront front : fronts) {
            for (int i = 0; i < VERSIONS; i++) {
                worst[i] = Math.max(worst[i], front.hadAtMillis[i] - confirmedAtMillis[i]);
            }
        }
        return worst;
    }

    private void publish(PublishedValue value) {
        published.add(value);
        fronts.forEach(ModelFront::servicePublished);
    }

    private static PublishedValue document(long revision) {
        return new PublishedValue("configuration", new byte[1], revision);
    }

    private long newestRevision() {
        return published.get(published.size() - 1).revision();
    }

    private void at(long atMillis, Runnable action) {
        events.add(new Event(Math.max(atMillis, nowMillis), nextEvent++, action));
    }

    /** One front: its part of the news, its watch and its questions, as the processes have them. */
    private final class ModelFront implements PeerItemSource {
        private static final long ROUND_MILLIS = 300;
        private static final long SWEEP_MILLIS = 250;
        private static final long WATCH_MILLIS = 2_000;
        private static final long WATCH_MARGIN_MILLIS = 700;
        private static final long COLLECT_MILLIS = 200;
        private static final long PAUSE_MILLIS = 400;
        private static final long ANSWER_MARGIN_MILLIS = 500;
        private static final long WAY_MILLIS = 2;

        private final String name;
        private final String ip;
        private final String dataCentre;
        private final boolean watchesByTurn;
        private final boolean cutOff;
        private final Cut cut;
        private final int lateMillis;
        private final MemberTable members;
        private final ItemMirror mirror = new ItemMirror();
        private final ItemFeed feed;
        private final long[] hadAtMillis = new long[VERSIONS];
        private final List<Runnable> waiting = new ArrayList<>();
        private Runnable watchAnswer = () -> {};
        private double linkFreeAtMillis;

        ModelFront(int number, Cut cut, int lateMillis) {
            this.cut = cut;
            this.lateMillis = lateMillis;
            dataCentre = "dc" + number % DATA_CENTRES;
            name = "front-" + dataCentre + "-" + number / DATA_CENTRES;
            ip = "10.0.0." + number;
            int inDataCentre = number / DATA_CENTRES;
            // The first three by name are 0, 1 and 10.
            boolean watcher = inDataCentre < 2 || inDataCentre == 10;
            watchesByTurn = watcher;
            cutOff = switch (cut) {
                case NOBODY -> false;
                case ALL_WATCHERS -> watcher;
                case RESET, SILENT -> random.nextDouble() < CUT_SHARE;
            };
            members = new MemberTable(report());
            Arrays.fill(hadAtMillis, Long.MAX_VALUE / 2);
            feed = new ItemFeed(
                    FeedFixture.settings(name, ip, dataCentre), members, mirror, this, () -> nowMillis, random);
            feed.listener((value, duringService, readable) -> {
                for (int version = 0; version < VERSIONS && version + 2 <= value.revision(); version++) {
                    hadAtMillis[version] = Math.min(hadAtMillis[version], nowMillis);
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
            for (ModelFront other : fronts) {
                members.hear(other.report(), 0);
            }
            at(random.nextInt((int) ROUND_MILLIS), this::round);
            at(random.nextInt((int) SWEEP_MILLIS), this::sweep);
            at(random.nextInt((int) WATCH_MILLIS), this::copy);
        }

        private long later() {
            return nowMillis + WAY_MILLIS + (lateMillis == 0 ? 0 : random.nextInt(lateMillis));
        }

        private void round() {
            members.report(report().toBuilder());
            MemberReport own = members.own();
            List<Beat> beats = members.beats(90, nowMillis);
            List<Member> alive = members.alive(nowMillis);
            for (int i = 0; i < 2 && !alive.isEmpty(); i++) {
                ModelFront hearer = byIp.get(
                        alive.get(random.nextInt(alive.size())).report().getIp());
                if (random.nextDouble() >= LOSS) {
                    at(later(), () -> hearer.hear(own, beats));
                }
            }
            at(nowMillis + ROUND_MILLIS, this::round);
        }

        private void hear(MemberReport report, List<Beat> beats) {
            if (members.hear(report, nowMillis)) {
                feed.reportReceived(report);
            }
            beats.forEach(beat -> members.hear(beat, nowMillis));
        }

        private void sweep() {
            feed.tick();
            at(nowMillis + SWEEP_MILLIS, this::sweep);
        }

        private boolean unreachable() {
            return cutOff && nowMillis >= CUT_AT_MILLIS;
        }

        private void copy() {
            feed.applySnapshot(published, newestRevision());
            watch();
        }

        private void watch() {
            if (!feed.shouldWatch()) {
                at(nowMillis + PAUSE_MILLIS, this::watch);
                return;
            }
            if (!watchesByTurn) {
                watchesOutOfTurn++;
            }
            if (unreachable()) {
                at(nowMillis + (cut == Cut.RESET ? WAY_MILLIS : WATCH_MILLIS + WATCH_MARGIN_MILLIS), this::watchFailed);
                return;
            }
            Runnable[] answer = new Runnable[1];
            answer[0] = () -> {
                if (watchAnswer == answer[0]) {
                    watchAnswer = () -> {};
                    at(sent(newestRevision() > mirror.revision()), this::watchAnswered);
                }
            };
            watchAnswer = answer[0];
            if (newestRevision() > mirror.revision()) {
                answer[0].run();
            } else {
                long beganAtMillis = nowMillis;
                at(nowMillis + WATCH_MILLIS, () -> {
                    if (watchAnswer == answer[0] && !unreachable()) {
                        answer[0].run();
                    } else if (watchAnswer == answer[0]) {
                        long failsAtMillis =
                                cut == Cut.RESET ? nowMillis : beganAtMillis + WATCH_MILLIS + WATCH_MARGIN_MILLIS;
                        watchAnswer = () -> {};
                        at(failsAtMillis, this::watchFailed);
                    }
                });
            }
        }

        void servicePublished() {
            if (!unreachable()) {
                watchAnswer.run();
            }
        }

        private void watchAnswered() {
            feed.applyWatchEvents(published, newestRevision());
            at(nowMillis + COLLECT_MILLIS, this::watch);
        }

        private void watchFailed() {
            feed.serviceReadFailed("cut");
            at(nowMillis + PAUSE_MILLIS, this::watch);
        }

        /** Returns when an answer that is sent now has arrived over this front's link. */
        private long sent(boolean document) {
            linkFreeAtMillis = Math.max(linkFreeAtMillis, nowMillis);
            linkFreeAtMillis += (document ? DOCUMENT_BYTES : 200) / LINK_BYTES_PER_MILLI;
            return (long) linkFreeAtMillis + (later() - nowMillis);
        }

        @Override
        public void requestChanges(String peerIp, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> taker) {
            boolean[] ended = new boolean[1];
            Consumer<Optional<ItemsAnswer>> once = answer -> {
                if (!ended[0]) {
                    ended[0] = true;
                    taker.accept(answer);
                }
            };
            ModelFront peer = byIp.get(peerIp);
            long afterRevision = mirror.revision();
            at(later(), () -> peer.asked(this, afterRevision, waitMillis, once));
            at(nowMillis + waitMillis + ANSWER_MARGIN_MILLIS, () -> once.accept(Optional.empty()));
        }

        private void asked(
                ModelFront asker, long afterRevision, long waitMillis, Consumer<Optional<ItemsAnswer>> taker) {
            boolean[] answered = new boolean[1];
            Runnable answer = () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    ItemsAnswer sent = answerAfter(afterRevision);
                    at(sent(sent.getItemsCount() > 0), () -> taker.accept(Optional.of(sent)));
                }
            };
            if (mirror.revision() > afterRevision || waitMillis == 0) {
                answer.run();
            } else {
                waiting.add(answer);
                at(nowMillis + waitMillis, answer);
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
            List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
        }
    }
}
