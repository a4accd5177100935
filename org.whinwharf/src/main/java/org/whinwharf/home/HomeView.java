package org.whinwharf.home;

import java.util.List;
import org.whinwharf.wire.message.SliceId;

/** Immutable view of the document in force and of the host list, as far as a home looks at them. */
public interface HomeView {
    /**
     * Tells whether a data centre may receive new work.
     *
     * @param dataCentre name
     * @return true when the document has it in service
     */
    boolean isInService(String dataCentre);

    /**
     * Tells whether a target may receive new work.
     *
     * @param target name
     * @return true when it is listed, live and its data centre in service
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
     * Returns the hosts that may own a slice.
     *
     * @param slice the slice
     * @return names, the one that is to own it first
     */
    List<String> owners(SliceId slice);

    /**
     * Returns what a hop to a data centre costs.
     *
     * @param dataCentre name
     * @return milliseconds
     */
    double distanceMillis(String dataCentre);

    /**
     * Returns the retries allowed per fresh request.
     *
     * @return ratio
     */
    double retryRatio();

    /**
     * Returns the retries a second that are allowed whatever the load.
     *
     * @return rate
     */
    double retryFloorPerSecond();
}
