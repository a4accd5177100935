package org.whinwharf.bench.capacity;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.SchedulerAction;
import org.whinwharf.owner.SchedulerConfiguration;
import org.whinwharf.owner.SchedulerCore;
import org.whinwharf.owner.SchedulerEvent;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Pledge;
import org.whinwharf.wire.message.PledgeRequest;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.TargetLoad;

/** Feeds the decisions of one scheduler with the events of its share of a fleet's load, and counts what comes out. */
final class SchedulerLoad {
    private static final long STEP_MILLIS = 10;
    private static final long LOAD_POLL_MILLIS = 250;
    private static final long SERVICE_MILLIS = 700;
    private static final int HOMES = 32;
    private static final int QUIET_MILLIS = 3_600_000;

    private final Size size;
    private final Membership membership;
    private final String host;
    private final SchedulerCore core;
    private final List<SliceId> owned;
    private final Queue<Running> running = new ArrayDeque<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private long nowMillis = 1;
    private long requests;
    private long bytesOut;
    private long framesOut;
    private long bytesIn;
    private long framesIn;
    private long granted;
    private long refused;

    SchedulerLoad(Size size, Membership membership, String host) {
        this.size = size;
        this.membership = membership;
        this.host = host;
        core = new SchedulerCore(new ProcessId(host, 1), PlacementStrategy.SCORE, 0);
        owned = membership.slices().stream()
                .filter(slice ->
                        membership.preferredOwner(slice).orElseThrow().getName().equals(host))
                .toList();
        step(new SchedulerEvent.ConfigurationChanged(membership, SchedulerConfiguration.of(size.document())));
    }

    /** Finds the host that owns most slices. */
    static String hottest(Size size, Membership membership) {
        Map<String, Integer> counts = new HashMap<>();
        for (SliceId slice : membership.slices()) {
            counts.merge(membership.preferredOwner(slice).orElseThrow().getName(), 1, Integer::sum);
        }
        return Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
    }

    int ownedSlices() {
        return owned.size();
    }

    /** Lets time pass without requests, until leases are held and targets are known. */
    void settle(long millis) {
        advance(millis, 0);
    }

    /** Runs the load; returns the processor time in nanoseconds. */
    long run(long millis, double requestsPerSecond) {
        bytesOut = 0;
        framesOut = 0;
        bytesIn = 0;
        framesIn = 0;
        requests = 0;
        granted = 0;
        refused = 0;
        long startNanos = Meter.cpuNanos();
        advance(millis, requestsPerSecond);
        return Meter.cpuNanos() - startNanos;
    }

    double requestsPerSecond() {
        int targets = 0;
        for (SliceId slice : owned) {
            targets += membership.targets(slice).size();
        }
        return size.requestsPerSecond() * targets / size.targets();
    }

    long requests() {
        return requests;
    }

    long granted() {
        return granted;
    }

    long refused() {
        return refused;
    }

    long bytes() {
        return bytesIn + bytesOut;
    }

    long frames() {
        return framesIn + framesOut;
    }

    private void advance(long millis, double requestsPerSecond) {
        double due = 0;
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            step(new SchedulerEvent.Tick());
            if (nowMillis % LOAD_POLL_MILLIS < STEP_MILLIS) {
                readLoads();
            }
            finish();
            due += requestsPerSecond * STEP_MILLIS / 1000;
            while (due >= 1 && !owned.isEmpty()) {
                due--;
                enqueue();
            }
        }
    }

    private void readLoads() {
        Set<String> targets = new TreeSet<>(core.targetsToPoll());
        for (String target : targets) {
            TargetLoad load = TargetLoad.newBuilder()
                    .setStartNumber(1)
                    .setRunning(inFlight.getOrDefault(target, 0))
                    .setWarm(true)
                    .build();
            step(new SchedulerEvent.LoadReceived(target, load, nowMillis));
        }
    }

    private void finish() {
        while (!running.isEmpty() && running.peek().endsAtMillis() <= nowMillis) {
            Running done = running.remove();
            inFlight.merge(done.grant().getTarget(), -1, Integer::sum);
            Finished finished = Finished.newBuilder()
                    .setSlice(done.grant().getSlice())
                    .setRequest(done.grant().getRequest())
                    .setGrant(done.grant().getGrant())
                    .setTarget(done.grant().getTarget())
                    .setKind(FinishKind.COMPLETED)
                    .setFirstTokenMillis(100)
                    .setTotalMillis(SERVICE_MILLIS)
                    .setPromptTokens(300)
                    .setPrefillTokens(100)
                    .setAnswerTokens(300)
                    .build();
            fromEntry(done.home(), Frame.newBuilder().setFinished(finished).build());
        }
    }

    private void enqueue() {
        requests++;
        Enqueue.Builder enqueue = Enqueue.newBuilder()
                .setSlice(owned.get((int) (requests % owned.size())))
                .setRequest(requests)
                .setTierRank((int) (requests % 4))
                .setOrganisation("organisation-" + requests % 31_000)
                .setWeight(1)
                .setModel("model-1")
                .setPromptTokens(300)
                .setAnswerTokens(300)
                .setLeftMillis(60_000)
                .setSentAtMillis(nowMillis);
        for (int i = 0; i < 4; i++) {
            enqueue.addPrefixes(requests % 100 * 31 + i);
        }
        fromEntry(home(requests), Frame.newBuilder().setEnqueue(enqueue).build());
    }

    private ProcessId home(long request) {
        return new ProcessId("entry-" + request % Math.min(HOMES, size.hosts()), 1);
    }

    private void fromEntry(ProcessId home, Frame frame) {
        bytesIn += frame.getSerializedSize();
        framesIn++;
        step(new SchedulerEvent.EntryFrame(home, frame));
    }

    private void step(SchedulerEvent event) {
        for (SchedulerAction action : core.handle(event, nowMillis)) {
            if (action instanceof SchedulerAction.SendToEntry toEntry) {
                countOut(toEntry.frame());
                if (toEntry.frame().hasGrant()) {
                    accept(toEntry.home(), toEntry.frame().getGrant());
                } else if (toEntry.frame().hasRefusal()) {
                    refused++;
                }
            } else if (action instanceof SchedulerAction.SendToPeer toPeer) {
                countOut(toPeer.frame());
                if (toPeer.frame().hasPledgeRequest()) {
                    pledge(toPeer.host(), toPeer.frame().getPledgeRequest());
                }
            }
        }
    }

    private void accept(ProcessId home, Grant grant) {
        granted++;
        inFlight.merge(grant.getTarget(), 1, Integer::sum);
        running.add(new Running(home, grant, nowMillis + SERVICE_MILLIS));
    }

    private void pledge(String voter, PledgeRequest request) {
        Pledge.Builder pledge = Pledge.newBuilder()
                .addAllSlices(request.getSlicesList())
                .setEchoMillis(request.getSentAtMillis())
                .setGoodMillis(2000)
                .setListRevision(1);
        for (int i = 0; i < request.getSlicesCount(); i++) {
            pledge.addQuietMillis(QUIET_MILLIS);
        }
        Frame frame = Frame.newBuilder().setPledge(pledge).build();
        bytesIn += frame.getSerializedSize();
        framesIn++;
        step(new SchedulerEvent.PeerFrame(new ProcessId(voter, 1), frame));
    }

    private void countOut(Frame frame) {
        bytesOut += frame.getSerializedSize();
        framesOut++;
    }

    private record Running(ProcessId home, Grant grant, long endsAtMillis) {}
}
