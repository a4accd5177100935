package org.whinwharf.owner;

import java.util.Map;
import org.whinwharf.owner.limit.LoadReading;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.pledge.Share;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.message.TierWait;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TargetState;
import org.whinwharf.wire.status.TierQueue;

/** Reports the status of a slice to homes and operators. */
final class SliceStatusReporter {
    private static final long HOME_RETENTION_MILLIS = 10_000;

    private SliceStatusReporter() {}

    /** Sends the status to the homes with recent contact, and removes the others. */
    static void send(SliceOwner owner, SchedulerContext context, long nowMillis) {
        owner.lastContactMillis().values().removeIf(contactMillis -> nowMillis - contactMillis > HOME_RETENTION_MILLIS);
        if (owner.lastContactMillis().isEmpty()) {
            return;
        }
        SliceStatus status = status(owner, nowMillis);
        for (ProcessId home : owner.lastContactMillis().keySet()) {
            context.sendToEntry(home, Frame.newBuilder().setSliceStatus(status));
        }
    }

    static SliceState state(SliceOwner owner, long nowMillis) {
        Share share = owner.pledges().share(nowMillis);
        SliceState.Builder state = SliceState.newBuilder()
                .setService(owner.slice().getService())
                .setDataCentre(owner.slice().getDataCentre())
                .setIndex(owner.slice().getIndex())
                .setShare((double) share.pledged() / share.voters());
        owner.queue()
                .sizes()
                .forEach((rank, waiting) ->
                        state.addQueues(TierQueue.newBuilder().setTierRank(rank).setWaiting(waiting)));
        owner.targets().accounts().forEach(account -> state.addTargets(target(owner, account, nowMillis)));
        return state.build();
    }

    private static SliceStatus status(SliceOwner owner, long nowMillis) {
        int freeSlots = owner.targets().candidates(nowMillis).stream()
                .mapToInt(candidate -> candidate.freeSlots())
                .sum();
        SliceStatus.Builder status = SliceStatus.newBuilder()
                .setSlice(owner.slice())
                .setFreeSlots(freeSlots)
                .setWaiting(owner.queue().size())
                .setUsableTargets(owner.targets().usableCount())
                .setTokensPerSecond(owner.targets().tokensPerSecond());
        for (Map.Entry<Integer, Integer> tier : owner.queue().sizes().entrySet()) {
            status.addWaits(TierWait.newBuilder()
                    .setTierRank(tier.getKey())
                    .setWaitMillis(owner.estimatedWaitMillis(tier.getKey(), nowMillis)));
        }
        return status.build();
    }

    private static TargetState target(SliceOwner owner, TargetAccount account, long nowMillis) {
        long ageMillis = account.lastReading()
                .map(LoadReading::earliestMillis)
                .map(measuredMillis -> nowMillis - measuredMillis)
                .orElse(-1L);
        return TargetState.newBuilder()
                .setName(account.name())
                .setState(stateName(owner, account))
                .setLimit(account.limit().value())
                .setInFlight(account.inFlight())
                .setLoadAgeMillis(ageMillis)
                .build();
    }

    private static String stateName(SliceOwner owner, TargetAccount account) {
        if (!owner.targets().isUsable(account.name())) {
            return "leaving";
        }
        if (account.lastReading().isEmpty()) {
            return "unknown";
        }
        if (account.limit().isCold()) {
            return "cold";
        }
        return account.limit().isInSlowStart() ? "warming" : "warm";
    }
}
