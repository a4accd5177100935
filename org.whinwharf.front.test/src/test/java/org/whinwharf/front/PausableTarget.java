package org.whinwharf.front;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/** A {@link TargetProcess} that is paused and resumed by signals, and killed and started again at the same port. */
final class PausableTarget implements AutoCloseable {
    /** Not an address from which local connections are opened, so that the port stays free until the next start. */
    private static final String IP = "127.0.0.2";

    /**
     * A span of time.
     *
     * @param toMillis end; {@link Long#MAX_VALUE} if there is none yet
     */
    record Span(long fromMillis, long toMillis) {
        static Span since(long fromMillis) {
            return new Span(fromMillis, Long.MAX_VALUE);
        }

        boolean open() {
            return toMillis == Long.MAX_VALUE;
        }

        boolean overlaps(Span other) {
            return fromMillis <= other.toMillis && other.fromMillis <= toMillis;
        }
    }

    private final int index;
    private final long seed;
    private final BiConsumer<PausableTarget, TargetReport> reports;
    private final LongConsumer pids;
    private final List<Span> pauses = new ArrayList<>();
    private final List<Span> downs = new ArrayList<>();
    private Process process;
    private Thread reader;
    private int port;
    private long startedUnixMillis;
    private boolean hung;

    /**
     * Starts a target.
     *
     * @param reports consumer of what the process reports
     * @param pids consumer of the ids of all processes that are started
     */
    PausableTarget(int index, long seed, BiConsumer<PausableTarget, TargetReport> reports, LongConsumer pids)
            throws IOException {
        this.index = index;
        this.seed = seed;
        this.reports = reports;
        this.pids = pids;
        start();
    }

    private void start() throws IOException {
        process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx32m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        TargetProcess.class.getName(),
                        IP,
                        String.valueOf(port),
                        String.valueOf(seed + downs.size()))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        pids.accept(process.pid());
        BufferedReader output =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        String firstLine = output.readLine();
        if (firstLine == null) {
            throw new IOException("target process ended at its start");
        }
        port = Integer.parseInt(firstLine);
        startedUnixMillis = System.currentTimeMillis();
        reader = new Thread(
                () -> output.lines().map(TargetReport::parse).forEach(report -> reports.accept(this, report)),
                "reports of a target");
        reader.setDaemon(true);
        reader.start();
    }

    String id() {
        return "t" + index;
    }

    String ip() {
        return IP;
    }

    synchronized int port() {
        return port;
    }

    synchronized long startedUnixMillis() {
        return startedUnixMillis;
    }

    /** Pauses the process; returns false if it does not run, or never will again. */
    synchronized boolean pause() throws IOException {
        if (hung || down() || paused()) {
            return false;
        }
        signal("-STOP");
        pauses.add(Span.since(System.currentTimeMillis()));
        return true;
    }

    /** Resumes the process, if it is paused and not hung. */
    synchronized void resume() throws IOException {
        if (!hung && !down() && paused()) {
            endLast(pauses, System.currentTimeMillis());
            signal("-CONT");
        }
    }

    /** Pauses the process until it is killed. */
    synchronized void hang() throws IOException {
        if (!down()) {
            pause();
            hung = true;
        }
    }

    synchronized boolean hung() {
        return hung;
    }

    /** Kills the process; returns false if it does not run. */
    synchronized boolean kill() throws IOException {
        if (down()) {
            return false;
        }
        long nowMillis = System.currentTimeMillis();
        downs.add(Span.since(nowMillis));
        if (paused()) {
            endLast(pauses, nowMillis);
        }
        hung = false;
        // Unlike the process, its handle leaves the output open, so that all reports are read.
        process.toHandle().destroyForcibly();
        awaitEnd();
        return true;
    }

    /** Starts the process again, if it was killed. */
    synchronized void restart() throws IOException {
        if (down()) {
            start();
            endLast(downs, startedUnixMillis);
        }
    }

    /** Returns the spans in which the process was paused. */
    synchronized List<Span> pauses() {
        return List.copyOf(pauses);
    }

    /** Returns the spans from a kill to the next start. */
    synchronized List<Span> downs() {
        return List.copyOf(downs);
    }

    private boolean down() {
        return lastOpen(downs);
    }

    private boolean paused() {
        return lastOpen(pauses);
    }

    private static boolean lastOpen(List<Span> spans) {
        return !spans.isEmpty() && spans.get(spans.size() - 1).open();
    }

    private static void endLast(List<Span> spans, long toMillis) {
        Span last = spans.remove(spans.size() - 1);
        spans.add(new Span(last.fromMillis(), toMillis));
    }

    private void signal(String option) throws IOException {
        if (!process.isAlive()) {
            throw new IOException(id() + " has ended by itself with exit value " + process.exitValue());
        }
        Process command = new ProcessBuilder("kill", option, String.valueOf(process.pid()))
                .inheritIO()
                .start();
        try {
            if (command.waitFor() != 0) {
                throw new IOException("kill " + option + " failed");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void awaitEnd() throws IOException {
        try {
            process.waitFor();
            reader.join();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
