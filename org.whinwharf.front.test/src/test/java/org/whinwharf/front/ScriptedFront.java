package org.whinwharf.front;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.whinwharf.front.PausingFleet.Work;

/** One front before targets whose behaviour is scripted for each run. */
final class ScriptedFront implements AutoCloseable {
    private static final String SILENT_RUNS = "whinwharf_runs_silent_total";
    /** Longer than any deadline of these tests. */
    private static final int CALLER_TIMEOUT_MILLIS = 15_000;

    /**
     * What a caller has received.
     *
     * @param text whole text of the response
     * @param millis time from the request to the end of the response
     */
    record Answer(String text, long millis) {}

    private final FrontFixture front;
    private final RunScripts scripts = new RunScripts();
    private final ExecutorService callers = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "caller");
        thread.setDaemon(true);
        return thread;
    });

    /** Starts a front with plain targets. */
    ScriptedFront(FleetLimits limits, int targetCount) throws IOException {
        this(limits, targetCount, false);
    }

    ScriptedFront(FleetLimits limits, int targetCount, boolean engine) throws IOException {
        front = new FrontFixture(List.of(), 120, true, limits);
        for (int i = 0; i < targetCount; i++) {
            front.target("t" + i, scripts);
        }
        front.publishCatalog(limits.attempts(), limits.timeoutMillis(), engine, limits.objectiveMillis());
    }

    FrontFixture front() {
        return front;
    }

    RunScripts scripts() {
        return scripts;
    }

    /** Sends a request whose runs are planned. */
    Future<Answer> call(Work work, String attemptId) {
        return callers.submit(() -> {
            long startNanos = System.nanoTime();
            try (Socket socket = open(work, attemptId)) {
                String text = FrontFixture.readAll(socket);
                return new Answer(text, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            }
        });
    }

    /** Plans the runs of a request, and sends it. */
    Future<Answer> call(Work work, String attemptId, RunScripts.Behaviour... runs) {
        scripts.plan(attemptId, runs);
        return call(work, attemptId);
    }

    /** Sends a request and leaves its response to be read. */
    Socket open(Work work, String attemptId) throws IOException {
        Socket socket = front.connect();
        socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
        FakeTarget.write(socket, work.request(attemptId));
        return socket;
    }

    /** Waits until an attempt has reached the given number of targets. */
    void awaitRuns(String attemptId, int count) throws InterruptedException {
        FrontFixture.await(() -> scripts.runs(attemptId).size() >= count);
    }

    /** Waits until the front has noticed that the given number of runs are silent. */
    void awaitSilentRuns(int count) throws InterruptedException {
        FrontFixture.await(() -> front.counter(SILENT_RUNS) >= count);
    }

    double counter(String name) {
        return front.counter(name);
    }

    @Override
    public void close() throws IOException {
        callers.shutdownNow();
        front.close();
    }
}
