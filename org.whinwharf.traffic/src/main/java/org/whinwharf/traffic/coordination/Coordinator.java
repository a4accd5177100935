package org.whinwharf.traffic.coordination;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Places the requests of services for all processes of the fleet.
 *
 * <p>Sixty processes that each place a few requests a second on their own counts pick the same engine together, read
 * each prompt on many engines, and learn an engine's speed too late. One that places all of them sees every request at
 * every engine, keeps one waiting line by tier, and remembers where each prompt was read. It holds nothing that must
 * not be lost: another process takes over with what the others tell it they have under way.
 */
public final class Coordinator {
    private final CoordinatorDependencies dependencies;
    private final Map<String, ServiceCoordinator> coordinatorsByService = new HashMap<>();

    /**
     * Creates a coordinator that knows of no request.
     *
     * @param parts what it decides with, and who takes its decisions
     */
    public Coordinator(CoordinatorDependencies parts) {
        this.dependencies = parts;
    }

    /**
     * Takes an ask; the same ask again gets the same decision again.
     *
     * @param ask the ask
     * @param nowMillis monotonic time in milliseconds
     */
    public void requestPlacement(PlacementRequest ask, long nowMillis) {
        serviceCoordinator(ask.demand().service()).requestPlacement(ask, nowMillis);
    }

    /**
     * Takes what became of a request.
     *
     * @param process who sent it
     * @param id id of its ask
     * @param event what happened
     * @param tookMillis time to the first event, or from the first event to the last; 0 when it says nothing
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportProgress(String process, long id, RunEvent event, long tookMillis, long nowMillis) {
        coordinatorsByService.values().forEach(desk -> desk.reportProgress(process, id, event, tookMillis, nowMillis));
    }

    /**
     * Takes everything that a process has under way at the targets of a service.
     *
     * @param process who says it
     * @param service name of the service
     * @param runs its requests, by the ids of their asks
     * @param nowMillis monotonic time in milliseconds
     */
    public void reportInFlight(String process, String service, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        serviceCoordinator(service).reportInFlight(process, runs, nowMillis);
    }

    /**
     * Sends and refuses what waits, and drops the requests of processes that fell silent.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void advance(long nowMillis) {
        coordinatorsByService.values().forEach(desk -> desk.advance(nowMillis));
    }

    /**
     * Returns how many requests wait.
     *
     * @return requests of all services
     */
    public int queuedRequests() {
        int waiting = 0;
        for (ServiceCoordinator desk : coordinatorsByService.values()) {
            waiting += desk.queuedRequests();
        }
        return waiting;
    }

    private ServiceCoordinator serviceCoordinator(String service) {
        return coordinatorsByService.computeIfAbsent(service, name -> new ServiceCoordinator(dependencies, name));
    }
}
