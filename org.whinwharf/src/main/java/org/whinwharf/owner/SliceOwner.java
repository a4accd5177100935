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

/** Queue, pledges and targets of one slice, at a process that owns the slice or is a candidate for it. */
final class SliceOwner {
    private static final int HARD_BOUND_FACTOR = 2;
    private static final double FLOOR_EXTENSION_RATIO = 0.8;
    private static final double WAIT_DISCOUNT = 0.5;
    private static final long MIN_RETRY_AFTER_MILLIS = 200;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final long DEADLINE_CHECK_INTERVAL_MILLIS = 50;
    private static final long RECENT_ENQUEUE_MILLIS = 5_000;

    private final SliceId slice;
    private final SchedulerContext context;
    private final HeldPledges pledges;
    private final SliceTargets targets;
    private final SliceQueue queue = new SliceQueue();
    private final DrainRate drainRate = new DrainRate();
    private final Map<ProcessId, Long> lastContactMillis = new HashMap<>();
    private long lastEnqueueMillis = Long.MIN_VALUE / 2;
    private long lastDeadlineCheckMillis = Long.MIN_VALUE / 2;
    private boolean mayHoldPledges;

    SliceOwner(SliceId slice, SchedulerContext context) {
        this.slice = slice;
        this.context = context;
        this.pledges = new HeldPledges(slice, context.views(), ShareRule.REST_TO_MAJORITY);
        this.targets = new SliceTargets(slice, context, pledges);
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

    /**
     * Returns whether this process should own the slice: it is the first candidate by the list, or the first one that
     * is reachable.
     */
    boolean shouldOwn(long nowMillis) {
        if (context.isLeaving() || !context.membership().slices().contains(slice)) {
            return false;
        }
        boolean isRequested = nowMillis - lastEnqueueMillis < RECENT_ENQUEUE_MILLIS
                || pledges.share(nowMillis).pledged() > 0;
        for (Host candidate : context.membership().candidates(slice)) {
            if (candidate.getName().equals(context.self().host())) {
                return true;
            }
            if (!isRequested || context.reachable().contains(candidate.getName())) {
                return false;
            }
        }
        return false;
    }

    /** Returns whether pledges must be requested, which includes the time while grants may still be unused. */
    boolean needsPledges(long nowMillis) {
        return shouldOwn(nowMillis) || mayHoldPledges && targets.hasUnusedGrants(nowMillis);
    }

    /**
     * Returns whether nothing of the slice remains at this process: no claim, waiting request, pledge or request in
     * flight.
     */
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
        pledges.add(voter, pledge.getEchoMillis(), pledge.getGoodMillis(), quietMillis, context.timings(), nowMillis);
        mayHoldPledges = true;
    }

    void enqueue(ProcessId home, Enqueue enqueue, long nowMillis) {
        lastEnqueueMillis = nowMillis;
        lastContactMillis.put(home, nowMillis);
        targets.adopt(home, enqueue.getInFlightList(), nowMillis);
        WaitingRequest waiting = newWaitingRequest(home, enqueue, nowMillis);
        targets.orphan(home, enqueue.getRequest(), nowMillis);
        Optional<RefusalReason> refusal = checkAdmission(waiting, nowMillis);
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
        context.count(SchedulerCounter.FINISHED, finished.getKind());
        Optional<Slot> slot = targets.finish(home, finished, nowMillis);
        switch (finished.getKind()) {
            case COMPLETED ->
                slot.map(Slot::waiting).ifPresent(waiting -> drainRate.addCompleted(waiting.cost(), nowMillis));
            case UNUSED ->
                slot.map(Slot::waiting).ifPresent(waiting -> context.count(SchedulerCounter.UNUSED, waiting.rank()));
            default -> {
                // Failed or cancelled requests say nothing about the drain rate of the slice.
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

    /** Refuses the waiting requests below a rank. */
    void evictBelow(int rank, long nowMillis) {
        for (WaitingRequest waiting : queue.belowRank(rank)) {
            evict(waiting, RefusalReason.BELOW_FLOOR, nowMillis);
        }
    }

    /** Performs all work that is due: expires orphans, recalls, evicts, sheds and grants. */
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
        if (nowMillis - lastDeadlineCheckMillis >= DEADLINE_CHECK_INTERVAL_MILLIS) {
            lastDeadlineCheckMillis = nowMillis;
            evictUnmeetableDeadlines(nowMillis);
        }
        shedExcess(nowMillis);
        grant(nowMillis);
    }

    /** Predicts the wait of a new request of a tier. */
    long estimatedWaitMillis(int rank, long nowMillis) {
        return (long) drainRate.predictMillis(queue.costAhead(rank), nowMillis);
    }

    private WaitingRequest newWaitingRequest(ProcessId home, Enqueue enqueue, long nowMillis) {
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

    private Optional<RefusalReason> checkAdmission(WaitingRequest waiting, long nowMillis) {
        if (context.isLeaving()) {
            return Optional.of(RefusalReason.OWNER_LEAVING);
        }
        if (!shouldOwn(nowMillis)) {
            return Optional.of(RefusalReason.NOT_OWNER);
        }
        if (targets.usableCount() == 0) {
            return Optional.of(RefusalReason.NO_TARGET);
        }
        if (waiting.rank() < context.floors().effectiveRank(slice.getService(), nowMillis)) {
            return Optional.of(RefusalReason.BELOW_FLOOR);
        }
        // The predicted wait may be wrong, and a lower request in the queue would then be served instead of this one.
        // So while a lower tier waits, the request is refused only if it would miss its deadline without any wait.
        double waitMillis = queue.hasBelowRank(waiting.rank())
                ? 0
                : WAIT_DISCOUNT * drainRate.predictMillis(queue.costBefore(waiting), nowMillis);
        return cannotMeetDeadline(waiting, waitMillis, nowMillis)
                ? Optional.of(RefusalReason.HOPELESS)
                : Optional.empty();
    }

    private boolean cannotMeetDeadline(WaitingRequest waiting, double waitMillis, long nowMillis) {
        double remainingMillis = waiting.deadlineMillis() - nowMillis;
        return remainingMillis <= 0 || remainingMillis < waitMillis + targets.minPredictedMillis(waiting, nowMillis);
    }

    private void evictUnmeetableDeadlines(long nowMillis) {
        for (WaitingRequest waiting : queue.all()) {
            if (cannotMeetDeadline(waiting, 0, nowMillis)) {
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
        evictAll(context.isLeaving() ? RefusalReason.OWNER_LEAVING : RefusalReason.NOT_OWNER, nowMillis);
        targets.recallAll(nowMillis, this::recall);
        if (mayHoldPledges && !targets.hasUnusedGrants(nowMillis)) {
            mayHoldPledges = false;
            pledges.clear();
            context.release(slice, nowMillis);
        }
    }

    // A full queue sheds the lowest tier first. Only the lowest tier of the document may be shed without consulting
    // other owners, because a request of another tier might be displaced by a lower request that waits at another
    // owner.
    private void shedExcess(long nowMillis) {
        int maxWaiting = context.service(slice.getService()).getMaxWaiting();
        while (queue.size() > maxWaiting) {
            WaitingRequest victim = queue.victim().orElseThrow();
            if (!mayShed(victim, nowMillis)) {
                context.raiseFloor(slice.getService(), victim.rank(), nowMillis);
                if (queue.size() <= HARD_BOUND_FACTOR * maxWaiting) {
                    return;
                }
                context.count(SchedulerCounter.SHED_BEFORE_FLOOR, victim.rank());
            }
            evict(victim, RefusalReason.SHED, nowMillis);
        }
        // If the floor were lowered as soon as the queue is just short enough, the next request would raise it again.
        if (queue.size() > FLOOR_EXTENSION_RATIO * maxWaiting) {
            context.floors().extend(slice.getService(), nowMillis);
        }
    }

    private boolean mayShed(WaitingRequest victim, long nowMillis) {
        return victim.rank() <= context.lowestRank()
                || context.floors()
                        .mayShed(slice.getService(), victim.rank(), context.reachable(), context.timings(), nowMillis);
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
        List<Candidate> serving = candidates.stream()
                .filter(candidate -> candidate.account().serves(waiting.model()))
                .toList();
        Candidate candidate = context.placement().choose(serving, waiting, context.placementState());
        grant(waiting, candidate, nowMillis);
        candidates.remove(candidate);
        if (candidate.freeSlots() > 1) {
            candidates.add(candidate.afterGrant());
        }
        return true;
    }

    private void grant(WaitingRequest waiting, Candidate candidate, long nowMillis) {
        TargetAccount account = candidate.account();
        Host host = context.membership().host(account.name()).orElseThrow();
        long grant = context.nextGrantId();
        queue.removeGranted(waiting);
        account.grant(waiting, grant, candidate.freeSlots() <= 1, context.timings(), nowMillis);
        context.count(SchedulerCounter.GRANTED, waiting.rank());
        context.sendToEntry(
                waiting.home(),
                Frame.newBuilder()
                        .setGrant(Grant.newBuilder()
                                .setSlice(slice)
                                .setRequest(waiting.request())
                                .setGrant(grant)
                                .setTarget(account.name())
                                .setAddress(host.getAddress())
                                .setPort(host.getTarget().getPort())
                                .setEchoMillis(context.clock(waiting.home()))
                                .setGoodMillis(context.timings().grantMillis())
                                .setExpectedPrefillTokens(account.prefixes()
                                        .uncachedTokens(waiting.prefixes(), waiting.promptTokens()))));
    }

    private void recall(Slot slot) {
        context.count(
                SchedulerCounter.RECALLED,
                slot.waiting() == null ? 0 : slot.waiting().rank());
        context.sendToEntry(
                slot.home(),
                Frame.newBuilder()
                        .setRecall(Recall.newBuilder()
                                .setSlice(slice)
                                .setGrant(slot.grant())
                                .setRequest(slot.request())));
    }

    private void refuse(WaitingRequest waiting, RefusalReason reason, long nowMillis) {
        context.count(SchedulerCounter.REFUSED, reason);
        context.sendToEntry(
                waiting.home(),
                Frame.newBuilder()
                        .setRefusal(Refusal.newBuilder()
                                .setSlice(slice)
                                .setRequest(waiting.request())
                                .setReason(reason)
                                .setComeBackMillis(retryAfterMillis(waiting, reason, nowMillis))));
    }

    private long retryAfterMillis(WaitingRequest waiting, RefusalReason reason, long nowMillis) {
        if (reason == RefusalReason.NOT_OWNER || reason == RefusalReason.OWNER_LEAVING) {
            return 0;
        }
        long drainMillis = estimatedWaitMillis(waiting.rank(), nowMillis);
        long retryAfterMillis = drainMillis == 0 ? DEFAULT_RETRY_AFTER_MILLIS : drainMillis;
        return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    List<String> targetNames() {
        List<String> names = new ArrayList<>();
        targets.accounts().forEach(account -> names.add(account.name()));
        return names;
    }
}
