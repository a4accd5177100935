package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.owner.limit.Slot;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.placement.Candidate;
import org.whinwharf.owner.pledge.HeldPledges;
import org.whinwharf.owner.pledge.ShareRule;
import org.whinwharf.owner.queue.DrainRate;
import org.whinwharf.owner.queue.SliceQueue;
import org.whinwharf.owner.queue.WaitingRequest;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Pledge;
import org.whinwharf.wire.message.Recall;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;

/** Queue, pledges and targets of one slice at the process that owns it or is to own it. */
final class SliceOwner {
    private static final int HARD_BOUND_FACTOR = 2;
    private static final double NEARLY_FULL = 0.8;
    private static final double OPTIMISM = 0.5;
    private static final long SHORTEST_COME_BACK_MILLIS = 200;
    private static final long DEFAULT_COME_BACK_MILLIS = 1_000;
    private static final long LONGEST_COME_BACK_MILLIS = 60_000;
    private static final long HOPELESS_MILLIS = 50;
    private static final long HEARD_MILLIS = 5_000;

    private final SliceId slice;
    private final SchedulerContext scene;
    private final HeldPledges pledges;
    private final SliceTargets targets;
    private final SliceQueue queue = new SliceQueue();
    private final DrainRate drain = new DrainRate();
    private final Map<ProcessId, Long> lastContactMillis = new HashMap<>();
    private long enqueuedAtMillis = Long.MIN_VALUE / 2;
    private long hopelessAtMillis = Long.MIN_VALUE / 2;
    private boolean mayHoldPledges;

    SliceOwner(SliceId slice, SchedulerContext scene) {
        this.slice = slice;
        this.scene = scene;
        this.pledges = new HeldPledges(slice, scene.views(), ShareRule.REST_TO_MAJORITY);
        this.targets = new SliceTargets(slice, scene, pledges);
        targets.update();
    }

    SliceId slice() {
        return slice;
    }

    SliceQueue queue() {
        return queue;
    }

    SliceTargets targets() {
        return targets;
    }

    HeldPledges pledges() {
        return pledges;
    }

    Map<ProcessId, Long> lastContactMillis() {
        return lastContactMillis;
    }

    void configurationChanged(long nowMillis) {
        targets.update();
        schedule(nowMillis);
    }

    /** Tells whether this process is to own the slice: first by the list, or the first that can be reached. */
    boolean shouldOwn(long nowMillis) {
        if (scene.isLeaving() || !scene.membership().slices().contains(slice)) {
            return false;
        }
        boolean asked = nowMillis - enqueuedAtMillis < HEARD_MILLIS
                || pledges.share(nowMillis).pledged() > 0;
        for (Host candidate : scene.membership().candidates(slice)) {
            if (candidate.getName().equals(scene.self().host())) {
                return true;
            }
            if (!asked || scene.reachable().contains(candidate.getName())) {
                return false;
            }
        }
        return false;
    }

    /** Tells whether pledges are to be asked for, also while grants are still out. */
    boolean needsPledges(long nowMillis) {
        return shouldOwn(nowMillis) || mayHoldPledges && targets.hasUnusedGrants(nowMillis);
    }

    /** Tells whether nothing of the slice is left here. */
    boolean isIdle(long nowMillis) {
        return !shouldOwn(nowMillis)
                && queue.size() == 0
                && !mayHoldPledges
                && targets.accounts().stream().allMatch(account -> account.inFlight() == 0);
    }

    boolean isHandoverComplete(long nowMillis) {
        return queue.size() == 0 && !mayHoldPledges && !targets.hasUnusedGrants(nowMillis);
    }

    void pledgeReceived(String voter, Pledge pledge, int position, long nowMillis) {
        long quietMillis = position < pledge.getQuietMillisCount() ? pledge.getQuietMillis(position) : 0;
        pledges.add(voter, pledge.getEchoMillis(), pledge.getGoodMillis(), quietMillis, scene.timings(), nowMillis);
        mayHoldPledges = true;
    }

    void enqueue(ProcessId home, Enqueue enqueue, long nowMillis) {
        enqueuedAtMillis = nowMillis;
        lastContactMillis.put(home, nowMillis);
        targets.adopt(home, enqueue.getInFlightList(), nowMillis);
        WaitingRequest waiting = waiting(home, enqueue, nowMillis);
        targets.orphan(home, enqueue.getRequest(), nowMillis);
        Optional<RefusalReason> refusal = refusalOf(waiting, nowMillis);
        if (refusal.isPresent()) {
            refuse(waiting, refusal.get(), nowMillis);
        } else if (queue.add(waiting)) {
            schedule(nowMillis);
        }
    }

    void withdraw(ProcessId home, long request) {
        queue.remove(new WaitingRequest.Key(home, request));
    }

    void finished(ProcessId home, Finished finished, long nowMillis) {
        lastContactMillis.put(home, nowMillis);
        scene.count(SchedulerCounter.FINISHED, finished.getKind());
        Optional<Slot> slot = targets.finish(home, finished, nowMillis);
        switch (finished.getKind()) {
            case COMPLETED ->
                slot.map(Slot::waiting).ifPresent(waiting -> drain.addCompleted(waiting.cost(), nowMillis));
            case UNUSED ->
                slot.map(Slot::waiting).ifPresent(waiting -> scene.count(SchedulerCounter.UNUSED, waiting.rank()));
            default -> {
                // What failed or was cancelled says nothing of how fast the slice drains.
            }
        }
        schedule(nowMillis);
    }

    void homeDisconnected(ProcessId home, long nowMillis) {
        lastContactMillis.remove(home);
        queue.waitingOf(home).forEach(waiting -> queue.remove(waiting.key()));
        targets.orphan(home, nowMillis);
        schedule(nowMillis);
    }

    /** Refuses what waits below a rank. */
    void evictBelow(int rank, long nowMillis) {
        for (WaitingRequest waiting : queue.belowRank(rank)) {
            evict(waiting, RefusalReason.BELOW_FLOOR, nowMillis);
        }
    }

    /** Does all that is due now. */
    void schedule(long nowMillis) {
        targets.expireOrphans(nowMillis);
        targets.recallFromUnusable(nowMillis, this::recall);
        if (!shouldOwn(nowMillis)) {
            handOver(nowMillis);
            return;
        }
        if (targets.usableCount() == 0) {
            evictAll(RefusalReason.NO_TARGET, nowMillis);
            return;
        }
        if (nowMillis - hopelessAtMillis >= HOPELESS_MILLIS) {
            hopelessAtMillis = nowMillis;
            evictHopeless(nowMillis);
        }
        trim(nowMillis);
        grant(nowMillis);
    }

    /** Predicts how long a fresh request of a tier waits. */
    long estimatedWaitMillis(int rank, long nowMillis) {
        return (long) drain.predictMillis(queue.costAhead(rank), nowMillis);
    }

    private WaitingRequest waiting(ProcessId home, Enqueue enqueue, long nowMillis) {
        return new WaitingRequest(
                home,
                enqueue.getRequest(),
                enqueue.getTierRank(),
                enqueue.getOrganisation(),
                Math.max(1, enqueue.getWeight()),
                enqueue.getModel(),
                enqueue.getPromptTokens(),
                enqueue.getAnswerTokens(),
                List.copyOf(enqueue.getPrefixesList()),
                nowMillis + enqueue.getLeftMillis(),
                nowMillis);
    }

    private Optional<RefusalReason> refusalOf(WaitingRequest waiting, long nowMillis) {
        if (scene.isLeaving()) {
            return Optional.of(RefusalReason.OWNER_LEAVING);
        }
        if (!shouldOwn(nowMillis)) {
            return Optional.of(RefusalReason.NOT_OWNER);
        }
        if (targets.usableCount() == 0) {
            return Optional.of(RefusalReason.NO_TARGET);
        }
        if (waiting.rank() < scene.floors().effectiveRank(slice.getService(), nowMillis)) {
            return Optional.of(RefusalReason.BELOW_FLOOR);
        }
        // The prediction may be wrong, and a lower request that waits here would then get the place of this one. It
        // is given up only when its deadline cannot be met even if it were next.
        double waitMillis = queue.hasBelowRank(waiting.rank())
                ? 0
                : OPTIMISM * drain.predictMillis(queue.costBefore(waiting), nowMillis);
        return isHopeless(waiting, waitMillis, nowMillis) ? Optional.of(RefusalReason.HOPELESS) : Optional.empty();
    }

    private boolean isHopeless(WaitingRequest waiting, double waitMillis, long nowMillis) {
        double leftMillis = waiting.deadlineMillis() - nowMillis;
        return leftMillis <= 0 || leftMillis < waitMillis + targets.minPredictedMillis(waiting, nowMillis);
    }

    private void evictHopeless(long nowMillis) {
        for (WaitingRequest waiting : queue.all()) {
            if (isHopeless(waiting, 0, nowMillis)) {
                evict(waiting, RefusalReason.HOPELESS, nowMillis);
            }
        }
    }

    private void evictAll(RefusalReason reason, long nowMillis) {
        for (WaitingRequest waiting : queue.all()) {
            evict(waiting, reason, nowMillis);
        }
    }

    private void evict(WaitingRequest waiting, RefusalReason reason, long nowMillis) {
        queue.remove(waiting.key());
        refuse(waiting, reason, nowMillis);
    }

    private void handOver(long nowMillis) {
        evictAll(scene.isLeaving() ? RefusalReason.OWNER_LEAVING : RefusalReason.NOT_OWNER, nowMillis);
        targets.recallAll(nowMillis, this::recall);
        if (mayHoldPledges && !targets.hasUnusedGrants(nowMillis)) {
            mayHoldPledges = false;
            pledges.clear();
            scene.release(slice, nowMillis);
        }
    }

    // A full queue sheds the lowest tier first. Only the lowest tier of the document may be shed without asking:
    // anything
    // else might be kept out by a lower request that waits at another owner.
    private void trim(long nowMillis) {
        int bound = scene.service(slice.getService()).getMaxWaiting();
        while (queue.size() > bound) {
            WaitingRequest victim = queue.victim().orElseThrow();
            if (!mayShed(victim, nowMillis)) {
                scene.raiseFloor(slice.getService(), victim.rank(), nowMillis);
                if (queue.size() <= HARD_BOUND_FACTOR * bound) {
                    return;
                }
                scene.count(SchedulerCounter.SHED_BEFORE_FLOOR, victim.rank());
            }
            evict(victim, RefusalReason.SHED, nowMillis);
        }
        // A floor that fell whenever the queue is just not too long would rise again with the next request.
        if (queue.size() > NEARLY_FULL * bound) {
            scene.floors().extend(slice.getService(), nowMillis);
        }
    }

    private boolean mayShed(WaitingRequest victim, long nowMillis) {
        return victim.rank() <= scene.lowestRank()
                || scene.floors()
                        .mayShed(slice.getService(), victim.rank(), scene.reachable(), scene.timings(), nowMillis);
    }

    private void grant(long nowMillis) {
        if (queue.size() == 0) {
            return;
        }
        List<Candidate> candidates = targets.candidates(nowMillis);
        boolean granted = true;
        while (granted && !candidates.isEmpty()) {
            granted = grantOne(candidates, nowMillis);
        }
    }

    private boolean grantOne(List<Candidate> candidates, long nowMillis) {
        Optional<WaitingRequest> next = queue.next(waiting -> waiting.deadlineMillis() > nowMillis
                && candidates.stream().anyMatch(candidate -> candidate.account().serves(waiting.model())));
        if (next.isEmpty()) {
            return false;
        }
        WaitingRequest waiting = next.get();
        List<Candidate> fitting = candidates.stream()
                .filter(candidate -> candidate.account().serves(waiting.model()))
                .toList();
        Candidate chosen = scene.placement().choose(fitting, waiting, scene.placementState());
        grant(waiting, chosen, nowMillis);
        candidates.remove(chosen);
        if (chosen.freeSlots() > 1) {
            candidates.add(chosen.afterGrant());
        }
        return true;
    }

    private void grant(WaitingRequest waiting, Candidate chosen, long nowMillis) {
        TargetAccount account = chosen.account();
        Host host = scene.membership().host(account.name()).orElseThrow();
        long grant = scene.nextGrantId();
        queue.removeGranted(waiting);
        account.grant(waiting, grant, chosen.freeSlots() <= 1, scene.timings(), nowMillis);
        scene.count(SchedulerCounter.GRANTED, waiting.rank());
        scene.sendToEntry(
                waiting.home(),
                Frame.newBuilder()
                        .setGrant(Grant.newBuilder()
                                .setSlice(slice)
                                .setRequest(waiting.request())
                                .setGrant(grant)
                                .setTarget(account.name())
                                .setAddress(host.getAddress())
                                .setPort(host.getTarget().getPort())
                                .setEchoMillis(scene.clock(waiting.home()))
                                .setGoodMillis(scene.timings().grantMillis())
                                .setExpectedPrefillTokens(account.prefixes()
                                        .uncachedTokens(waiting.prefixes(), waiting.promptTokens()))));
    }

    private void recall(Slot slot) {
        scene.count(
                SchedulerCounter.RECALLED,
                slot.waiting() == null ? 0 : slot.waiting().rank());
        scene.sendToEntry(
                slot.home(),
                Frame.newBuilder()
                        .setRecall(Recall.newBuilder()
                                .setSlice(slice)
                                .setGrant(slot.grant())
                                .setRequest(slot.request())));
    }

    private void refuse(WaitingRequest waiting, RefusalReason reason, long nowMillis) {
        scene.count(SchedulerCounter.REFUSED, reason);
        scene.sendToEntry(
                waiting.home(),
                Frame.newBuilder()
                        .setRefusal(Refusal.newBuilder()
                                .setSlice(slice)
                                .setRequest(waiting.request())
                                .setReason(reason)
                                .setComeBackMillis(comeBackMillis(waiting, reason, nowMillis))));
    }

    private long comeBackMillis(WaitingRequest waiting, RefusalReason reason, long nowMillis) {
        if (reason == RefusalReason.NOT_OWNER || reason == RefusalReason.OWNER_LEAVING) {
            return 0;
        }
        long drainMillis = estimatedWaitMillis(waiting.rank(), nowMillis);
        long comeBackMillis = drainMillis == 0 ? DEFAULT_COME_BACK_MILLIS : drainMillis;
        return Math.min(LONGEST_COME_BACK_MILLIS, Math.max(SHORTEST_COME_BACK_MILLIS, comeBackMillis));
    }

    List<String> targetNames() {
        List<String> names = new ArrayList<>();
        targets.accounts().forEach(account -> names.add(account.name()));
        return names;
    }
}
