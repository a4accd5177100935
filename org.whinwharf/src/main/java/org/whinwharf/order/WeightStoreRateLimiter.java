package org.whinwharf.order;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Shares the weight store's rate among the stewards of all targets, without a word between them.
 *
 * <p>Time is cut into turns of 1 / rate seconds, and turns go round the targets of the host list. A steward has the
 * turns of its targets, so its share of the rate is its share of the targets, and with equal lists no two stewards ever
 * have the same turn. The wall clock only places the turns: where the clocks of two hosts differ by some time, loads
 * move by that time. A wall clock that is set back would repeat turns; a token bucket on the monotonic clock bounds
 * that.
 *
 * <p>Not safe for use by several threads.
 */
public final class WeightStoreRateLimiter {
    private static final long NO_TIME_SLOT = Long.MIN_VALUE / 2;
    private static final long MAX_LATENESS_MILLIS = 100;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double loadsPerSecond;
    private List<String> targets = List.of();
    private int localTargetCount;
    private double tokens;
    private long refilledAtMillis;
    private long lastUsedTimeSlot = NO_TIME_SLOT;
    private Set<String> localTargets = Set.of();

    /**
     * Makes turns without targets.
     *
     * @param loadsPerSecond loads that the weight store bears a second, over the whole fleet
     */
    public WeightStoreRateLimiter(double loadsPerSecond) {
        this.loadsPerSecond = loadsPerSecond;
    }

    /**
     * Takes another host list.
     *
     * @param allTargets names of all engines of the list
     * @param newOwnTargets names of those whose steward this is
     * @param nowMillis monotonic clock
     */
    public void updateTargets(List<String> allTargets, Set<String> newOwnTargets, long nowMillis) {
        refill(nowMillis);
        boolean first = localTargetCount == 0;
        targets = allTargets.stream()
                .sorted(Comparator.comparingLong(WeightStoreRateLimiter::hashPosition)
                        .thenComparing(name -> name))
                .toList();
        localTargets = Set.copyOf(newOwnTargets);
        localTargetCount = localTargets.size();
        tokens = first ? localTargetCount : Math.min(tokens, localTargetCount);
    }

    /**
     * Takes a turn of this steward that has just come and was not used yet.
     *
     * @param nowMillis monotonic clock
     * @param unixMillis wall clock
     * @return true when one load may be sent now
     */
    public boolean tryAcquire(long nowMillis, long unixMillis) {
        refill(nowMillis);
        if (targets.isEmpty() || tokens < 1) {
            return false;
        }
        long last = timeSlotAt(unixMillis);
        if (lastUsedTimeSlot > last) {
            // The wall clock was set back. Waiting until it has caught up could take hours; the tokens bound the rest.
            lastUsedTimeSlot = NO_TIME_SLOT;
        }
        // Only a turn that has just begun: used at any instant of theirs, two turns could fall close together.
        for (long turn = Math.max(lastUsedTimeSlot, timeSlotAt(unixMillis - MAX_LATENESS_MILLIS)) + 1;
                turn <= last;
                turn++) {
            String holder = targets.get((int) Math.floorMod(turn, (long) targets.size()));
            if (localTargets.contains(holder)) {
                lastUsedTimeSlot = turn;
                tokens -= 1;
                return true;
            }
        }
        return false;
    }

    private long timeSlotAt(long unixMillis) {
        return (long) Math.floor(unixMillis * loadsPerSecond / MILLIS_PER_SECOND);
    }

    private void refill(long nowMillis) {
        if (!targets.isEmpty()) {
            double sharePerSecond = loadsPerSecond * localTargetCount / targets.size();
            double gained = (nowMillis - refilledAtMillis) * sharePerSecond / MILLIS_PER_SECOND;
            tokens = Math.min(localTargetCount, tokens + gained);
        }
        refilledAtMillis = nowMillis;
    }

    /** Spreads the targets of one steward over the round. */
    private static long hashPosition(String target) {
        return Hashing.murmur3_128().hashString(target, StandardCharsets.UTF_8).asLong();
    }
}
