package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinwharf.owner.limit.Slot;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.limit.UsableShare;
import org.whinwharf.owner.placement.Candidate;
import org.whinwharf.owner.pledge.HeldPledges;
import org.whinwharf.owner.queue.WaitingRequest;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.InFlight;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.Limits;

/** Accounts of the targets of one slice, at its owner. */
final class SliceTargets {
    private final SliceId slice;
    private final SchedulerContext context;
    private final HeldPledges pledges;
    private final Map<String, TargetAccount> accounts = new TreeMap<>();
    private final Map<String, Boolean> usable = new LinkedHashMap<>();

    SliceTargets(SliceId slice, SchedulerContext context, HeldPledges pledges) {
        this.slice = slice;
        this.context = context;
        this.pledges = pledges;
    }

    Collection<TargetAccount> accounts() {
        return accounts.values();
    }

    Optional<TargetAccount> account(String target) {
        return Optional.ofNullable(accounts.get(target));
    }

    boolean isUsable(String target) {
        return usable.getOrDefault(target, false);
    }

    int usableCount() {
        return (int) usable.values().stream().filter(Boolean::booleanValue).count();
    }

    /** Applies the current membership; a target that returns to service is treated as cold. */
    void update() {
        Map<String, Boolean> usableBefore = new LinkedHashMap<>(usable);
        usable.clear();
        for (Host host : context.membership().targets(slice)) {
            String name = host.getName();
            boolean usableNow = context.membership().isUsable(name);
            usable.put(name, usableNow);
            Limits limits = context.service(slice.getService()).getLimits();
            accounts.computeIfAbsent(name, key -> new TargetAccount(key, limits))
                    .limit()
                    .updateBounds(limits);
            if (usableNow && !usableBefore.getOrDefault(name, true)) {
                accounts.get(name).returnToService();
            }
        }
        accounts.values().removeIf(account -> !usable.containsKey(account.name()) && account.inFlight() == 0);
    }

    List<Candidate> candidates(long nowMillis) {
        List<Candidate> candidates = new ArrayList<>();
        for (TargetAccount account : accounts.values()) {
            int freeSlots = freeSlots(account, nowMillis);
            if (freeSlots > 0) {
                candidates.add(new Candidate(account, freeSlots));
            }
        }
        return candidates;
    }

    int freeSlots(TargetAccount account, long nowMillis) {
        return isUsable(account.name())
                ? account.freeSlots(share(account, nowMillis), context.timings(), nowMillis)
                : 0;
    }

    Optional<Slot> finish(ProcessId home, Finished finished, long nowMillis) {
        Optional<TargetAccount> account = account(finished.getTarget());
        Optional<Slot> slot = account.flatMap(found -> found.finish(home, finished, context.timings(), nowMillis));
        if (slot.isPresent() && !usable.containsKey(finished.getTarget())) {
            accounts.values().removeIf(removable -> !usable.containsKey(removable.name()) && removable.inFlight() == 0);
        }
        return slot;
    }

    void adopt(ProcessId home, List<InFlight> inFlight, long nowMillis) {
        for (InFlight request : inFlight) {
            account(request.getTarget()).ifPresent(account -> account.adopt(home, request.getRequest(), nowMillis));
        }
    }

    void orphan(ProcessId home, long nowMillis) {
        accounts.values().forEach(account -> account.orphan(home, context.timings(), nowMillis));
    }

    void orphan(ProcessId home, long request, long nowMillis) {
        accounts.values().forEach(account -> account.orphan(home, request, context.timings(), nowMillis));
    }

    void expireOrphans(long nowMillis) {
        accounts.values().forEach(account -> account.expireOrphans(nowMillis));
    }

    void recallFromUnusable(long nowMillis, Consumer<Slot> recall) {
        for (TargetAccount account : accounts.values()) {
            if (!isUsable(account.name())) {
                account.recallUnused(nowMillis).forEach(recall);
            }
        }
    }

    void recallAll(long nowMillis, Consumer<Slot> recall) {
        accounts.values().forEach(account -> account.recallUnused(nowMillis).forEach(recall));
    }

    boolean hasUnusedGrants(long nowMillis) {
        return accounts.values().stream().anyMatch(account -> account.hasUnusedGrants(nowMillis));
    }

    /**
     * Returns the shortest predicted duration of the request at any usable target; 0 when no target has a recent
     * sample.
     */
    double minPredictedMillis(WaitingRequest waiting, long nowMillis) {
        return accounts.values().stream()
                .filter(account -> isUsable(account.name()) && account.speed().hasRecentSample(nowMillis))
                .mapToDouble(account -> account.speed()
                        .predictMillis(
                                account.prefixes().uncachedTokens(waiting.prefixes(), waiting.promptTokens()),
                                waiting.answerTokens()))
                .min()
                .orElse(0);
    }

    double tokensPerSecond() {
        return accounts.values().stream()
                .filter(account -> isUsable(account.name()))
                .mapToDouble(account ->
                        account.speed().tokensPerSecond() * account.limit().value())
                .sum();
    }

    private UsableShare share(TargetAccount account, long nowMillis) {
        return (limit, measuredAtMillis) -> context.views().belongsInAllViews(account.name(), slice, measuredAtMillis)
                ? pledges.usableSlots(limit, measuredAtMillis, nowMillis)
                : 0;
    }
}
