package org.whinwharf.traffic.coordination;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Places the requests of services for all processes of the fleet.
 *
 * <p>If each of sixty processes places a few requests per second based only on its own, they select the same engine
 * together, read each prompt on many engines, and learn the speed of an engine too late. A single coordinator knows the
 * requests in flight at each engine, keeps one queue ordered by tier, and records where each prompt was read. Its state
 * is expendable: another process takes over with the requests that all processes report as in flight.
 */
public final class Coordinator {
    private final CoordinatorDependencies dependencies;
    private final Map<String, ServiceCoordinator> coordinatorsByService = new HashMap<>();

    /**
     * Creates a coordinator without any request.
     *
     * @param dependencies state that decisions are based on, and listeners
     */
    public Coordinator(CoordinatorDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Processes a placement request. A repeated placement request gets the same decision again.
     *
     * @param request placement request
     * @param nowMillis monotonic time in milliseconds
     */
    public void requestPlacement(PlacementRequest request, long nowMillis) {
        serviceCoordinator(request.demand().service()).requestPlacement(request, nowMillis);
    }

    /**
     * Processes a report on the progress of a request.
     *
     * @param process name of the process that sent the request
     * @param id id of the placement request
     * @param event event reported
     * @param tookMillis time to the first event, or from the first to the last event; 0 if not known
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportProgress(String process, long id, RunEvent event, long tookMillis, long nowMillis) {
        reportProgress(process, id, event, tookMillis, 0, nowMillis);
    }

    /**
     * Processes a report on the progress of a request whose events were counted.
     *
     * @param process name of the process that sent the request
     * @param id id of the placement request
     * @param event event reported
     * @param tookMillis time to the first event, or from the first to the last event; 0 if not known
     * @param events number of events of the whole answer; 0 if not known
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportProgress(String process, long id, RunEvent event, long tookMillis, int events, long nowMillis) {
        coordinatorsByService
                .values()
                .forEach(coordinator -> coordinator.reportProgress(process, id, event, tookMillis, events, nowMillis));
    }

    /**
     * Processes a report of all requests that a process has in flight at the targets of a service.
     *
     * @param process name of the reporting process
     * @param service name of the service
     * @param runs requests in flight, by the ids of their placement requests
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportInFlight(String process, String service, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        reportInFlight(process, service, RunListPart.WHOLE, runs, nowMillis);
    }

    /**
     * Processes a report of a part of the requests that a process has in flight at the targets of a service.
     *
     * @param process name of the reporting process
     * @param service name of the service
     * @param part part that the report covers
     * @param runs requests of this part in flight, by the ids of their placement requests
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportInFlight(
            String process, String service, RunListPart part, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        serviceCoordinator(service).reportInFlight(process, part, runs, nowMillis);
    }

    /**
     * Places and rejects queued requests, and expires the requests of processes that have stopped reporting.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void advance(long nowMillis) {
        coordinatorsByService.values().forEach(coordinator -> coordinator.advance(nowMillis));
    }

    /**
     * Returns the number of queued requests.
     *
     * @return number of requests of all services
     */
    public int queuedRequests() {
        int queued = 0;
        for (ServiceCoordinator coordinator : coordinatorsByService.values()) {
            queued += coordinator.queuedRequests();
        }
        return queued;
    }

    /**
     * Returns the number of organisations that wait because they have used their share.
     *
     * @return number over all services and ranks
     */
    public int limitedOrganisations() {
        int limited = 0;
        for (ServiceCoordinator coordinator : coordinatorsByService.values()) {
            limited += coordinator.shares().limitedOrganisations();
        }
        return limited;
    }

    /**
     * Returns the largest use of an organisation in the last second relative to its share.
     *
     * @return ratio, the largest of all services and ranks; 0 if none is used by several organisations
     */
    public double largestUseRatio() {
        double largest = 0;
        for (ServiceCoordinator coordinator : coordinatorsByService.values()) {
            largest = Math.max(largest, coordinator.shares().largestUseRatio());
        }
        return largest;
    }

    private ServiceCoordinator serviceCoordinator(String service) {
        return coordinatorsByService.computeIfAbsent(service, name -> new ServiceCoordinator(dependencies, name));
    }
}
