package org.whinwharf.home;

import java.util.List;
import org.whinwharf.wire.message.SliceId;

/** Immutable view of the parts of the active document and of the host list that a home needs. */
public interface HomeView {
    /**
     * Tells whether a data centre may receive new work.
     *
     * @param dataCentre name
     * @return true when the document marks it as in service
     */
    boolean isInService(String dataCentre);

    /**
     * Tells whether a target may receive new work.
     *
     * @param target name
     * @return true when it is listed and live and its data centre is in service
     */
    boolean isUsable(String target);

    /**
     * Returns the slices of a service in all data centres.
     *
     * @param service name
     * @return slices
     */
    List<SliceId> slices(String service);

    /**
     * Returns the hosts that may own a slice, by preference.
     *
     * @param slice the slice
     * @return names, the preferred owner first
     */
    List<String> owners(SliceId slice);

    /**
     * Returns the extra latency of a request to a data centre.
     *
     * @param dataCentre name
     * @return milliseconds
     */
    double distanceMillis(String dataCentre);

    /**
     * Returns the number of retries allowed per new request.
     *
     * @return ratio
     */
    double retryRatio();

    /**
     * Returns the number of retries per second that are allowed at any load.
     *
     * @return rate
     */
    double retryFloorPerSecond();
}
