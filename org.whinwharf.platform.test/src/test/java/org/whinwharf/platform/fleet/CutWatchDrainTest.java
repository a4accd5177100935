package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests deployed fronts before a worker that leaves right after the store has cut the watches that waited. */
class CutWatchDrainTest {
    private static final int WORKERS = 3;
    private static final int FIRST_WORKER_IP = 50;
    private static final int WORKER_PORT = 9_000;
    private static final int CALLERS = 14;
    /** Cuts in a row, which last longer than the pause between two watches, so that each front has one cut. */
    private static final int CUTS = 12;

    private static final long CUT_INTERVAL_MILLIS = 60;
    /** Runs at the worker before it leaves, in whose time the fronts have come to wait for the store's next change. */
    private static final int MIN_RUNS = 100;

    /** Time from a worker's leaving to its end, longer than the time limit for requests to it. */
    private static final long LEAVE_MILLIS = 3_500;

    private static final FaultMix NO_FAULTS = new FaultMix(List.of(WorkerFault.NONE), 0, 0);

    /** Guards against a cut watch that is taken for an outage, so that a worker that left is used for longer. */
    @Test
    void workerThatLeavesAfterWatchesWereCutGetsNoLateRequests() throws Exception {
        FleetRecord record = new FleetRecord();
        List<WorkerStandIn> workers = new ArrayList<>();
        List<CallerStandIn> callers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        try (DeployedFleet fleet = new DeployedFleet()) {
            fleet.store().put("op/config", AttemptKind.config(1, CallerStandIn.HOST, "s"));
            fleet.start();
            for (int i = 0; i < WORKERS; i++) {
                WorkerStandIn worker = new WorkerStandIn(
                        fleet.store(),
                        record,
                        new WorkerStandIn.Identity("w" + i, "s", "za", "v1"),
                        new InetSocketAddress(fleet.ip(FIRST_WORKER_IP + i), WORKER_PORT),
                        StreamEnds.WHOLE,
                        NO_FAULTS,
                        i);
                worker.start();
                workers.add(worker);
            }
            fleet.awaitReady();
            for (int i = 0; i < CALLERS; i++) {
                FrontProcess front = fleet.fronts().get(i % fleet.fronts().size());
                InetSocketAddress address = new InetSocketAddress(front.ip(), front.callerPort());
                CallerStandIn caller = new CallerStandIn(
                        "c" + i,
                        () -> List.of(address),
                        record,
                        CallerHabits.builder().build(),
                        i);
                callers.add(caller);
                threads.add(new Thread(caller, "caller " + i));
            }
            threads.forEach(Thread::start);
            String leaving = workers.get(0).identity().id();
            DeployedFleet.await("runs", () -> runsAt(record, leaving) > MIN_RUNS);
            for (int i = 0; i < CUTS; i++) {
                fleet.store().cutWatches();
                TimeUnit.MILLISECONDS.sleep(CUT_INTERVAL_MILLIS);
            }
            workers.get(0).leaveUnannounced();
            TimeUnit.MILLISECONDS.sleep(LEAVE_MILLIS);
            callers.forEach(CallerStandIn::stop);
            for (Thread thread : threads) {
                thread.join();
            }
        } finally {
            callers.forEach(CallerStandIn::stop);
            workers.forEach(WorkerStandIn::stop);
        }
        FleetHistory history = record.history();
        assertThat("runs", history.runs().size(), greaterThan(MIN_RUNS));
        List<String> late = FleetChecks.drain(history, run -> true);
        assertThat(late.size() + " late requests", late, empty());
    }

    private static long runsAt(FleetRecord record, String workerId) {
        return record.history().runs().stream()
                .filter(run -> run.workerId().equals(workerId) && run.executed())
                .count();
    }
}
