package org.whinwharf.pgm.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.status.NodeStatus;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TargetState;
import org.whinwharf.wire.status.TierQueue;

/** Load of the fleet by service and data centre: targets by the host list, load by the schedulers that own them. */
public final class FleetLoad {
    private final HostList hosts;
    private final List<SliceState> slices = new ArrayList<>();

    /**
     * Sums up a fleet.
     *
     * @param hosts host list
     * @param statuses status of every process that answered
     */
    public FleetLoad(HostList hosts, List<NodeStatus> statuses) {
        this.hosts = hosts;
        for (NodeStatus status : statuses) {
            status.getSlicesList().stream()
                    .filter(slice -> slice.getShare() > 0)
                    .forEach(slices::add);
        }
    }

    /**
     * Counts the live targets of a service.
     *
     * @param service name of the service
     * @return number of targets
     */
    public int targets(String service) {
        return countTargets(service, host -> true);
    }

    /**
     * Counts the live targets of a service in some data centres.
     *
     * @param service name of the service
     * @param dataCentres names of the data centres
     * @return number of targets
     */
    public int targets(String service, Set<String> dataCentres) {
        return countTargets(service, host -> dataCentres.contains(host.getDataCentre()));
    }

    /**
     * Tells whether any scheduler said how a service stands.
     *
     * @param service name of the service
     * @return true when a slice of it is owned by a scheduler that answered
     */
    public boolean isMeasured(String service) {
        return slices.stream().anyMatch(slice -> slice.getService().equals(service));
    }

    /**
     * Sums what the targets of a service bear at once, as learned so far.
     *
     * @param service name of the service
     * @param dataCentres names of the data centres
     * @return requests in flight allowed
     */
    public int limit(String service, Set<String> dataCentres) {
        return slices.stream()
                .filter(slice -> slice.getService().equals(service))
                .filter(slice -> dataCentres.contains(slice.getDataCentre()))
                .flatMap(slice -> slice.getTargetsList().stream())
                .mapToInt(TargetState::getLimit)
                .sum();
    }

    /**
     * Sums the requests of a service that run or wait, in all data centres.
     *
     * @param service name of the service
     * @return requests
     */
    public int demand(String service) {
        int demand = 0;
        for (SliceState slice : slices) {
            if (slice.getService().equals(service)) {
                demand += slice.getTargetsList().stream()
                        .mapToInt(TargetState::getInFlight)
                        .sum();
                demand += slice.getQueuesList().stream()
                        .mapToInt(TierQueue::getWaiting)
                        .sum();
            }
        }
        return demand;
    }

    /**
     * Returns the slices that are owned.
     *
     * @return slices with a share above zero, as their owners tell
     */
    public List<SliceState> slices() {
        return List.copyOf(slices);
    }

    private int countTargets(String service, Predicate<Host> where) {
        return (int) hosts.getHostsList().stream()
                .filter(host ->
                        host.hasTarget() && host.getTarget().getService().equals(service))
                .filter(host -> host.getState() == HostState.LIVE)
                .filter(where)
                .count();
    }
}
