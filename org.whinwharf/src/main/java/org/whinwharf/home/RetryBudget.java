package org.whinwharf.home;

/**
 * Budget for retries, replenished by new requests and over time. Without a budget, retries amplify each overload and
 * the fleet stays overloaded after the cause is gone.
 */
final class RetryBudget {
    private static final double MAX_ALLOWANCE = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double allowance;
    private long lastMillis = Long.MIN_VALUE;

    void recordNewRequest(double ratio) {
        allowance = Math.min(MAX_ALLOWANCE, allowance + ratio);
    }

    boolean tryAcquire(double floorPerSecond, long nowMillis) {
        if (lastMillis == Long.MIN_VALUE) {
            allowance = Math.min(MAX_ALLOWANCE, allowance + floorPerSecond);
        } else {
            double replenished = (nowMillis - lastMillis) / MILLIS_PER_SECOND * floorPerSecond;
            allowance = Math.min(MAX_ALLOWANCE, allowance + replenished);
        }
        lastMillis = nowMillis;
        if (allowance < 1) {
            return false;
        }
        allowance--;
        return true;
    }
}
