package org.whinwharf.traffic.coordination;

/**
 * The part of a process's requests in flight that a list holds. Parts are told apart by the ids of the requests, so
 * that a list can be applied without the other parts.
 *
 * @param number number of the part, from 0
 * @param count number of parts, at least 1
 */
public record RunListPart(int number, int count) {
    /** All requests of the process. */
    public static final RunListPart WHOLE = new RunListPart(0, 1);

    /**
     * Tells whether the part holds a request.
     *
     * @param id id of the placement request
     * @return true if a list of the part names the request as long as it is in flight
     */
    public boolean holds(long id) {
        return Math.floorMod(id, (long) count) == number;
    }
}
