package org.whinwharf.traffic.share;

/**
 * Use of a rank by one organisation, for logs.
 *
 * @param tierRank rank in the queue
 * @param useSlots slots that the organisation held on average in the last second
 * @param shareSlots slots that its share of the use of all organisations came to
 * @param aheadVirtualMillis virtual time by which it is ahead of the rank's clock with its queued requests
 * @param queued number of its queued requests
 */
public record ShareUse(int tierRank, double useSlots, double shareSlots, double aheadVirtualMillis, int queued) {}
