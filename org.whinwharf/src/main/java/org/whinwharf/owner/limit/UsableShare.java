package org.whinwharf.owner.limit;

/** Computes the part of a target's limit that an owner may use. */
@FunctionalInterface
public interface UsableShare {
    /**
     * Returns the number of slots that the owner may use.
     *
     * @param limit concurrency limit of the target
     * @param measuredAtMillis when the target's load was measured
     * @return maximum number of requests that the owner may have in flight
     */
    int usableSlots(int limit, long measuredAtMillis);
}
