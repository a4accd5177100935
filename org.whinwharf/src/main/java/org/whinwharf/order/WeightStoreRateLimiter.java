package org.whinwharf.order;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Limits the rate of loads from the weight store over the whole fleet, without communication between stewards.
 *
 * <p>Time is divided into slots of 1 / rate seconds, which are assigned round-robin to the targets of the host list. A
 * steward uses the slots of its own targets, so that its share of the rate is its share of the targets. Stewards with
 * equal lists never use the same slot.
 *
 * <p>The wall clock only places the slots: an offset between the clocks of two hosts shifts loads by that offset. A
 * wall clock that is set back would repeat slots, so a token bucket on the monotonic clock limits the loads as well.
 *
 * <p>Not thread-safe.
 */
public final class WeightStoreRateLimiter {
    private static final long NO_TIME_SLOT = Long.MIN_VALUE / 2;

    /** Longest time after the start of a slot at which the slot can still be used. */
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
     * Creates a limiter without targets, which permits no loads.
     *
     * @param loadsPerSecond loads per second that the weight store supports, over the whole fleet
     */
    public WeightStoreRateLimiter(double loadsPerSecond) {
        this.loadsPerSecond = loadsPerSecond;
    }

    /**
     * Updates the targets from a new host list.
     *
     * @param allTargets names of all engines in the list
     * @param newLocalTargets names of the engines whose steward is this process
     * @param nowMillis current time, on the monotonic clock
     */
    public void updateTargets(List<String> allTargets, Set<String> newLocalTargets, long nowMillis) {
        refill(nowMillis);
        boolean hadNoTargets = localTargetCount == 0;
        targets = allTargets.stream()
                .sorted(Comparator.comparingLong(WeightStoreRateLimiter::hashPosition)
                        .thenComparing(name -> name))
                .toList();
        localTargets = Set.copyOf(newLocalTargets);
        localTargetCount = localTargets.size();
        tokens = hadNoTargets ? localTargetCount : Math.min(tokens, localTargetCount);
    }

    /**
     * Acquires a permit for one load: an unused slot of this steward that has just begun, and a token.
     *
     * @param nowMillis current time, on the monotonic clock
     * @param unixMillis current time, on the wall clock
     * @return true when one load may be sent now
     */
    public boolean tryAcquire(long nowMillis, long unixMillis) {
        refill(nowMillis);
        if (targets.isEmpty() || tokens < 1) {
            return false;
        }
        long currentTimeSlot = timeSlotAt(unixMillis);
        if (lastUsedTimeSlot > currentTimeSlot) {
            // The wall clock was set back. Waiting until it reaches the last slot again could take hours; the token
            // bucket limits the loads meanwhile.
            lastUsedTimeSlot = NO_TIME_SLOT;
        }
        // Only slots that have just begun are used. If loads could start at any time within their slots, two loads of
        // adjacent slots could start almost together.
        for (long timeSlot = Math.max(lastUsedTimeSlot, timeSlotAt(unixMillis - MAX_LATENESS_MILLIS)) + 1;
                timeSlot <= currentTimeSlot;
                timeSlot++) {
            String assignedTarget = targets.get((int) Math.floorMod(timeSlot, (long) targets.size()));
            if (localTargets.contains(assignedTarget)) {
                lastUsedTimeSlot = timeSlot;
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
            double newTokens = (nowMillis - refilledAtMillis) * sharePerSecond / MILLIS_PER_SECOND;
            tokens = Math.min(localTargetCount, tokens + newTokens);
        }
        refilledAtMillis = nowMillis;
    }

    /** Orders targets by hash, which spreads the slots of one steward evenly over a round. */
    private static long hashPosition(String target) {
        return Hashing.murmur3_128().hashString(target, StandardCharsets.UTF_8).asLong();
    }
}
