package org.whinwharf.traffic.quota;

import java.util.Arrays;

/** Tokens that were charged to an account within the last few seconds, by slots of a quarter of a second. */
final class RecentTokens {
    private static final long SLOT_MILLIS = 250;
    private static final int SLOTS = 16;

    /** Tokens by slot number modulo the number of slots; null before the first charge, as most accounts are idle. */
    private float[] tokensBySlot;

    private long newestSlot = Long.MIN_VALUE / 2;

    /**
     * Adds charged tokens, or subtracts refunded ones.
     *
     * @param tokens tokens; negative for a refund
     * @param nowMillis monotonic time in milliseconds
     */
    void add(double tokens, long nowMillis) {
        if (tokensBySlot == null) {
            tokensBySlot = new float[SLOTS];
        }
        advance(nowMillis);
        tokensBySlot[index(newestSlot)] += (float) tokens;
    }

    /**
     * Returns the tokens that were charged within a time up to now, to the precision of a slot.
     *
     * @param millis time in milliseconds, at most that of all slots
     * @param nowMillis monotonic time in milliseconds
     * @return tokens, not negative
     */
    double within(long millis, long nowMillis) {
        if (tokensBySlot == null) {
            return 0;
        }
        advance(nowMillis);
        long slots = Math.min(SLOTS, (millis + SLOT_MILLIS - 1) / SLOT_MILLIS);
        double tokens = 0;
        for (long slot = newestSlot; slot > newestSlot - slots; slot--) {
            tokens += tokensBySlot[index(slot)];
        }
        return Math.max(0, tokens);
    }

    private void advance(long nowMillis) {
        long slot = Math.floorDiv(nowMillis, SLOT_MILLIS);
        if (slot - newestSlot >= SLOTS) {
            Arrays.fill(tokensBySlot, 0);
            newestSlot = slot;
        }
        while (newestSlot < slot) {
            newestSlot++;
            tokensBySlot[index(newestSlot)] = 0;
        }
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, (long) SLOTS);
    }
}
