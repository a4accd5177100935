package org.whinwharf.front;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Fronts of this process before targets in processes of their own. */
final class ProcessFleet implements AutoCloseable {
    private static final int SLOTS = 8;
    private static final long COORDINATOR_TIMEOUT_MILLIS = 120;
    private static final long NEVER = Long.MAX_VALUE;

    /** Resumes all targets once this process is gone, so that paused ones notice it and end. */
    private static final String RESUME_AT_END =
            "while read pid; do pids=\"$pids $pid\"; done; kill -CONT $pids 2>/dev/null";

    /** A front of the fleet, and whether callers may turn to it. */
    static final class Member {
        private final FrontFixture fixture;
        private volatile boolean leaving;
        private volatile long goneAtMillis = NEVER;
        private final Set<Socket> callers = ConcurrentHashMap.newKeySet();

        private Member(FrontFixture fixture) {
            this.fixture = fixture;
        }

        FrontFixture fixture() {
            return fixture;
        }

        /** Opens a connection, which ends with the front at the latest. */
        Socket connect() throws IOException {
            Socket socket = fixture.connect();
            callers.add(socket);
            if (gone()) {
                socket.close();
            }
            return socket;
        }

        /**
         * Ends all connections, as the end of a process does; a front that stops within this one may leave some open.
         */
        private void closeConnections() {
            for (Socket socket : callers) {
                try {
                    socket.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        /** Returns the time at which the front was killed or had stopped; {@link Long#MAX_VALUE} if it runs. */
        long goneAtMillis() {
            return goneAtMillis;
        }

        boolean serving() {
            return !leaving && !gone();
        }

        private boolean gone() {
            return goneAtMillis != NEVER;
        }
    }

    private final FleetLimits limits;
    private final boolean engine;
    private final RunHistory history = new RunHistory();
    private final Process resumer;
    private final List<PausableTarget> targets = new ArrayList<>();
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final Set<PausableTarget> removed = new HashSet<>();
    private long catalogVersion = 1;

    /** Starts a fleet and waits until all its fronts serve. */
    ProcessFleet(int fronts, int targetCount, boolean engine, FleetLimits limits, Random random) throws Exception {
        this.limits = limits;
        this.engine = engine;
        resumer = new ProcessBuilder("sh", "-c", RESUME_AT_END).start();
        try {
            for (int i = 0; i < targetCount; i++) {
                targets.add(new PausableTarget(i, random.nextLong(), history::reported, this::resumeAtEnd));
            }
            for (int i = 0; i < fronts; i++) {
                startFront(i == 0);
            }
            for (Member member : members) {
                FrontFixture.await(() -> member.fixture().advertisedFronts() == fronts);
            }
        } catch (Exception e) {
            close();
            throw e;
        }
    }

    private void resumeAtEnd(long pid) {
        try {
            OutputStream pids = resumer.getOutputStream();
            synchronized (pids) {
                pids.write((pid + "\n").getBytes(StandardCharsets.US_ASCII));
                pids.flush();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    FleetLimits limits() {
        return limits;
    }

    RunHistory history() {
        return history;
    }

    List<PausableTarget> targets() {
        return targets;
    }

    PausableTarget target(String id) {
        return targets.stream()
                .filter(target -> target.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the fronts that serve, apart from those that have just begun to leave. */
    List<Member> serving() {
        return members.stream().filter(Member::serving).toList();
    }

    Optional<Member> drawServing(Random random) {
        List<Member> serving = serving();
        return serving.isEmpty() ? Optional.empty() : Optional.of(serving.get(random.nextInt(serving.size())));
    }

    /** Starts a front beside those that serve, and waits until it serves too. */
    void startFront() throws InterruptedException {
        startFront(false);
    }

    private void startFront(boolean first) throws InterruptedException {
        List<String> seedIps =
                serving().stream().map(member -> member.fixture().ip()).toList();
        FrontFixture fixture = new FrontFixture(
                seedIps,
                COORDINATOR_TIMEOUT_MILLIS,
                first,
                limits,
                new TestDialect((attemptId, dispatch) -> history.sent(attemptId, dispatch.targetId())));
        Member member = new Member(fixture);
        fixture.front().onStopped(() -> stopped(member));
        synchronized (this) {
            fixture.republishCatalog(catalogVersion, limits, engine);
            targets.stream().filter(target -> !removed.contains(target)).forEach(target -> publish(target, fixture));
            member.leaving = true;
            members.add(member);
        }
        FrontFixture.await(fixture.front()::ready);
        member.leaving = false;
    }

    /** Begins the planned stop of a front. */
    synchronized void stop(Member member) {
        member.leaving = true;
        member.fixture().front().stop();
    }

    /** Ends a front that has stopped, as its process would end; called on the front's only thread, maybe repeatedly. */
    private void stopped(Member member) {
        if (!member.gone()) {
            member.goneAtMillis = System.currentTimeMillis();
            Thread end = new Thread(() -> kill(member), "end of a front");
            end.setDaemon(true);
            end.start();
        }
    }

    synchronized void kill(Member member) {
        if (!member.gone()) {
            member.goneAtMillis = System.currentTimeMillis();
        }
        member.fixture().kill();
        member.closeConnections();
    }

    private void publish(PausableTarget target, FrontFixture front) {
        front.publish(target.id(), target.ip(), target.port(), SLOTS, target.startedUnixMillis());
    }

    private List<FrontFixture> running() {
        return members.stream()
                .filter(member -> !member.fixture().killed())
                .map(Member::fixture)
                .toList();
    }

    /** Publishes at all fronts a later catalog with the same routes. */
    synchronized void republishCatalog() {
        catalogVersion++;
        running().forEach(front -> front.republishCatalog(catalogVersion, limits, engine));
    }

    /** Removes the published entry of a target, which goes on. */
    synchronized void publishRemoval(PausableTarget target) {
        removed.add(target);
        running()
                .forEach(front -> front.run(() ->
                        front.front().removeTarget(target.id(), front.front().nowMillis())));
    }

    /** Publishes a target that was removed. */
    synchronized void republish(PausableTarget target) {
        removed.remove(target);
        publishRestart(target);
    }

    /** Publishes the start of a target, unless it is removed. */
    synchronized void publishRestart(PausableTarget target) {
        if (!removed.contains(target)) {
            running().forEach(front -> publish(target, front));
        }
    }

    /** Ends all faults of targets: resumes them, restarts those that hang, and publishes all. */
    void healTargets() throws IOException {
        for (PausableTarget target : targets) {
            if (target.hung()) {
                target.kill();
            }
            target.restart();
            target.resume();
            republish(target);
        }
    }

    @Override
    public void close() throws IOException {
        targets.forEach(PausableTarget::close);
        resumer.destroyForcibly();
        for (Member member : members) {
            member.fixture().close();
        }
    }
}
