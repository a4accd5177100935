package org.whinwharf.platform.fleet;

import java.util.List;

/**
 * Records of a play of stops.
 *
 * @param fleet records of workers and callers
 * @param stops stops of fronts under requests
 * @param hangUps signals that settings have changed
 * @param idleStop stop of a front with connections and no request
 */
record StopHistory(FleetHistory fleet, List<FrontStop> stops, List<HangUp> hangUps, FrontStop idleStop) {
    /**
     * A signal that settings have changed.
     *
     * @param frontIp address of the front
     */
    record HangUp(String frontIp, long atNanos) {}
}
