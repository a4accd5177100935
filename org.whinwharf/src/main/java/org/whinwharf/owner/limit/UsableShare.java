package org.whinwharf.owner.limit;

/** Part of a target's limit that an owner may use. */
@FunctionalInterface
public interface UsableShare {
    /**
     * Returns the part.
     *
     * @param limit requests that the target bears
     * @param measuredAtMillis when the target's load was measured
     * @return requests that the owner may have in flight
     */
    int usableSlots(int limit, long measuredAtMillis);
}
