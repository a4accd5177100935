package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.InFlight;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.schema.Document;

/** Simulates schedulers, homes and targets that are connected by links with delays, on a clock driven by the test. */
final class FleetModel {
    static final int SCHEDULERS = 4;
    static final int HOMES = 2;
    static final int TARGETS = 2;

    private static final long TICK_MILLIS = 50;
    private static final long POLL_MILLIS = 250;
    private static final long DOWN_MILLIS = 2_000;
    private static final int PARTS_PER_MILLION = 1_000_000;

    private final Random random;
    private final Document document;
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final List<Node> schedulers = new ArrayList<>();
    private final List<Home> homes = new ArrayList<>();
    private final Map<String, ModelTarget> targets = new HashMap<>();
    private final Set<String> listedHosts = new TreeSet<>();
    private final Set<Set<String>> cut = new HashSet<>();
    private final Map<List<String>, Long> lastDelivery = new HashMap<>();
    private long nowMillis;
    private long sequence;
    private long revision;
    private int completed;

    FleetModel(long seed, int maxCapacity) {
        random = new Random(seed);
        document = Fixtures.document(maxCapacity, 50);
        for (int i = 0; i < TARGETS; i++) {
            targets.put("t" + i, new ModelTarget(maxCapacity));
        }
        for (int i = 0; i < SCHEDULERS; i++) {
            listedHosts.add("s" + i);
            schedulers.add(new Node("s" + i));
        }
        for (int i = 0; i < HOMES; i++) {
            homes.add(new Home("h" + i));
        }
        publish();
    }

    void runUntil(long untilMillis) {
        while (!steps.isEmpty() && steps.peek().atMillis() <= untilMillis) {
            Step step = steps.poll();
            nowMillis = step.atMillis();
            step.action().run();
        }
        nowMillis = untilMillis;
    }

    int maxOverload() {
        return targets.values().stream()
                .mapToInt(ModelTarget::maxOverload)
                .max()
                .orElse(0);
    }

    int completed() {
        return completed;
    }

    void restart(int scheduler) {
        schedulers.get(scheduler).restart();
    }

    void freeze(int process, long millis) {
        Process victim = process < SCHEDULERS ? schedulers.get(process) : homes.get(process % HOMES);
        victim.frozenUntilMillis = nowMillis + millis;
    }

    void cut(int one, int other, long millis) {
        if (one == other) {
            return;
        }
        Set<String> pair = Set.of("s" + one, other < SCHEDULERS ? "s" + other : "h" + other % HOMES);
        if (cut.add(pair)) {
            linkChanged(pair);
            at(nowMillis + millis, () -> {
                cut.remove(pair);
                linkChanged(pair);
            });
        }
    }

    void isolate(int scheduler, long millis) {
        for (int other = 0; other < SCHEDULERS; other++) {
            cut(scheduler, other, millis);
        }
    }

    void toggleListed(int scheduler) {
        String name = "s" + scheduler;
        if (!listedHosts.remove(name)) {
            listedHosts.add(name);
        }
        if (listedHosts.size() < SCHEDULERS - 1) {
            listedHosts.add(name);
        }
        publish();
    }

    void leave(int scheduler) {
        schedulers.get(scheduler).event(new SchedulerEvent.Leave());
        at(nowMillis + DOWN_MILLIS, () -> schedulers.get(scheduler).restart());
    }

    void crashTarget(int index) {
        ModelTarget target = targets.get("t" + index % TARGETS);
        if (!target.isDown()) {
            target.crash(nowMillis);
            at(nowMillis + DOWN_MILLIS, () -> target.restart(nowMillis));
        }
    }

    void restartHome(int index) {
        homes.get(index % HOMES).restart();
    }

    private void publish() {
        Membership membership = Fixtures.membership(++revision, document, listedHosts, List.of("t0", "t1"));
        for (Node node : schedulers) {
            at(nowMillis + random.nextInt((int) Fixtures.TIMINGS.listLagMillis()), () -> node.view(membership));
        }
    }

    private void linkChanged(Set<String> pair) {
        List<String> ends = List.copyOf(pair);
        boolean up = !cut.contains(pair);
        for (int i = 0; i < 2; i++) {
            String there = ends.get(1 - i);
            schedulers.stream().filter(node -> node.name.equals(there)).forEach(node -> node.link(ends, up));
        }
    }

    private void at(long atMillis, Runnable action) {
        steps.add(new Step(atMillis, sequence++, action));
    }

    private void deliver(String from, String to, Runnable action) {
        if (cut.contains(Set.of(from, to))) {
            return;
        }
        List<String> link = List.of(from, to);
        long atMillis = Math.max(nowMillis + 1 + random.nextInt(30), lastDelivery.getOrDefault(link, 0L));
        lastDelivery.put(link, atMillis);
        at(atMillis, action);
    }

    private Home home(ProcessId id) {
        return homes.stream().filter(home -> home.id.equals(id)).findFirst().orElse(null);
    }

    private record Step(long atMillis, long sequence, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A process with its own clock, which can be frozen. */
    private abstract class Process {
        final String name;
        ProcessId id;
        long frozenUntilMillis;
        private final long offsetMillis = random.nextInt(100_000);
        private final int ratePpm = random.nextInt(1000) - 500;

        Process(String name) {
            this.name = name;
            this.id = new ProcessId(name, 1);
        }

        long clock() {
            return offsetMillis + nowMillis + nowMillis * ratePpm / PARTS_PER_MILLION;
        }

        void runWhenAwake(Runnable action) {
            ProcessId idAtStart = id;
            if (nowMillis < frozenUntilMillis) {
                at(frozenUntilMillis + random.nextInt(5), () -> runWhenAwake(action));
            } else if (idAtStart.equals(id)) {
                action.run();
            }
        }
    }

    private final class Node extends Process {
        private SchedulerCore core;
        private Membership membership;

        Node(String name) {
            super(name);
            core = new SchedulerCore(id, PlacementStrategy.SCORE, clock());
            at(random.nextInt((int) TICK_MILLIS), this::tick);
            at(random.nextInt((int) POLL_MILLIS), this::poll);
            at(0, this::connectAll);
        }

        void restart() {
            id = new ProcessId(name, id.incarnation() + 1);
            frozenUntilMillis = 0;
            core = new SchedulerCore(id, PlacementStrategy.SCORE, clock());
            if (membership != null) {
                event(new SchedulerEvent.ConfigurationChanged(membership, SchedulerConfiguration.of(document)));
            }
            connectAll();
        }

        void view(Membership newer) {
            runWhenAwake(() -> {
                if (membership == null || newer.revision() > membership.revision()) {
                    membership = newer;
                    event(new SchedulerEvent.ConfigurationChanged(newer, SchedulerConfiguration.of(document)));
                }
            });
        }

        void link(List<String> ends, boolean up) {
            String other = ends.get(0).equals(name) ? ends.get(1) : ends.get(0);
            schedulers.stream().filter(node -> node.name.equals(other)).forEach(node -> {
                event(up ? new SchedulerEvent.PeerConnected(node.id) : new SchedulerEvent.PeerDisconnected(node.id));
            });
            if (!up) {
                homes.stream()
                        .filter(home -> home.name.equals(other))
                        .forEach(home -> event(new SchedulerEvent.EntryDisconnected(home.id)));
            }
        }

        void event(SchedulerEvent event) {
            ProcessId to = id;
            runWhenAwake(() -> {
                if (to.equals(id)) {
                    core.handle(event, clock()).forEach(this::perform);
                }
            });
        }

        private void connectAll() {
            schedulers.stream()
                    .filter(node -> node != this)
                    .forEach(node -> event(new SchedulerEvent.PeerConnected(node.id)));
        }

        private void tick() {
            event(new SchedulerEvent.Tick());
            at(nowMillis + TICK_MILLIS, this::tick);
        }

        private void poll() {
            targets.forEach((target, model) -> {
                long requestedAtMillis = clock();
                event(
                        model.isDown()
                                ? new SchedulerEvent.LoadRequestFailed(target)
                                : new SchedulerEvent.LoadReceived(
                                        target,
                                        model.load(random.nextInt((int) Fixtures.TIMINGS.loadLagMillis()), nowMillis),
                                        requestedAtMillis));
            });
            at(nowMillis + POLL_MILLIS, this::poll);
        }

        private void perform(SchedulerAction action) {
            if (action instanceof SchedulerAction.SendToPeer send) {
                ProcessId from = id;
                schedulers.stream()
                        .filter(node -> node.name.equals(send.host()))
                        .forEach(node -> deliver(
                                name, node.name, () -> node.event(new SchedulerEvent.PeerFrame(from, send.frame()))));
            } else if (action instanceof SchedulerAction.SendToEntry send && home(send.home()) != null) {
                Home home = home(send.home());
                deliver(name, home.name, () -> home.runWhenAwake(() -> home.received(this, send.frame())));
            }
        }
    }

    private final class Home extends Process {
        private final Map<Long, String> inFlight = new HashMap<>();
        private long nextRequest = 1;

        Home(String name) {
            super(name);
            at(random.nextInt(100), this::arrive);
            at(random.nextInt(100), this::sendHeartbeat);
        }

        /** Restarts and loses its requests, which continue to run at the targets. */
        void restart() {
            ProcessId old = id;
            id = new ProcessId(name, old.incarnation() + 1);
            inFlight.clear();
            schedulers.forEach(node -> node.event(new SchedulerEvent.EntryDisconnected(old)));
        }

        private void sendHeartbeat() {
            runWhenAwake(() -> schedulers.forEach(node -> send(
                    node, Frame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setSentAtMillis(clock())))));
            at(nowMillis + 100, this::sendHeartbeat);
        }

        private void arrive() {
            runWhenAwake(() -> enqueue(nextRequest++, random.nextInt(SCHEDULERS)));
            at(nowMillis + 10 + random.nextInt(30), this::arrive);
        }

        private void enqueue(long request, int scheduler) {
            Enqueue.Builder enqueue = Enqueue.newBuilder()
                    .setSlice(Fixtures.SLICE)
                    .setRequest(request)
                    .setTierRank(random.nextInt(3))
                    .setOrganisation("o" + random.nextInt(2))
                    .setAnswerTokens(10)
                    .setLeftMillis(5_000)
                    .setSentAtMillis(clock());
            if (random.nextInt(10) == 0) {
                inFlight.forEach((running, target) -> enqueue.addInFlight(
                        InFlight.newBuilder().setRequest(running).setTarget(target)));
            }
            send(schedulers.get(scheduler), Frame.newBuilder().setEnqueue(enqueue));
        }

        void received(Node from, Frame frame) {
            switch (frame.getBodyCase()) {
                case GRANT -> {
                    // Some homes use a grant only shortly before it expires.
                    long delayMillis = random.nextInt(3) == 0 ? random.nextInt(600) : 0;
                    ProcessId idAtStart = id;
                    at(
                            nowMillis + delayMillis,
                            () -> runWhenAwake(() -> {
                                if (idAtStart.equals(id)) {
                                    granted(from, frame.getGrant());
                                }
                            }));
                }
                case REFUSAL -> refused(frame.getRefusal());
                default -> {
                    // The simulated home ignores recalls, like a home that has already sent its request.
                }
            }
        }

        private void refused(Refusal refusal) {
            ProcessId idAtStart = id;
            at(
                    nowMillis + 100,
                    () -> runWhenAwake(() -> {
                        if (idAtStart.equals(id)) {
                            enqueue(refusal.getRequest(), random.nextInt(SCHEDULERS));
                        }
                    }));
        }

        private void granted(Node from, Grant grant) {
            if (clock() >= grant.getEchoMillis() + grant.getGoodMillis() || inFlight.containsKey(grant.getRequest())) {
                finished(from, grant, FinishKind.UNUSED, 0);
                return;
            }
            ProcessId idAtStart = id;
            long sentAtMillis = nowMillis;
            ModelTarget target = targets.get(grant.getTarget());
            Runnable failed = () -> {
                if (idAtStart.equals(id)) {
                    inFlight.remove(grant.getRequest());
                    finished(from, grant, FinishKind.FAILED, nowMillis - sentAtMillis);
                }
            };
            if (!target.start(failed, nowMillis)) {
                finished(from, grant, FinishKind.FAILED, 0);
                return;
            }
            inFlight.put(grant.getRequest(), grant.getTarget());
            long ranMillis = random.nextInt(10) == 0 ? 3_000 : 20 + random.nextInt(300);
            at(nowMillis + ranMillis, () -> {
                if (target.end(failed, nowMillis) && idAtStart.equals(id)) {
                    completed++;
                    inFlight.remove(grant.getRequest());
                    finished(from, grant, FinishKind.COMPLETED, ranMillis);
                }
            });
        }

        private void finished(Node to, Grant grant, FinishKind kind, long totalMillis) {
            Finished.Builder finished = Finished.newBuilder()
                    .setSlice(Fixtures.SLICE)
                    .setRequest(grant.getRequest())
                    .setGrant(grant.getGrant())
                    .setTarget(grant.getTarget())
                    .setKind(kind)
                    .setTotalMillis(totalMillis)
                    .setAnswerTokens((int) totalMillis / 10);
            send(to, Frame.newBuilder().setFinished(finished));
        }

        private void send(Node to, Frame.Builder frame) {
            ProcessId from = id;
            ProcessId receiver = to.id;
            Frame built = frame.build();
            deliver(name, to.name, () -> {
                if (receiver.equals(to.id)) {
                    to.event(new SchedulerEvent.EntryFrame(from, built));
                }
            });
        }
    }
}
