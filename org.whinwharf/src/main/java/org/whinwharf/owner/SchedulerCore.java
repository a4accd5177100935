package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.owner.pledge.Voter;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FloorCleared;
import org.whinwharf.wire.message.FloorLower;
import org.whinwharf.wire.message.FloorRaise;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Pledge;
import org.whinwharf.wire.message.PledgeRelease;
import org.whinwharf.wire.message.PledgeRequest;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.status.SliceState;

/**
 * Decisions of one scheduler process: owner of slices, voter for others' slices and party to floors.
 *
 * <p>Confined to one thread. Everything happens in {@link #handle}: an event and the time now go in, actions come out.
 */
public final class SchedulerCore {
    private static final int RENEWALS_PER_PLEDGE = 3;
    private static final long STATUS_MILLIS = 1_000;
    private static final long SHORTEST_PAUSE_MILLIS = 500;
    private static final int FLOOR_CANDIDATES = 2;

    private final SchedulerContext scene;
    private final Voter voter;
    private final Map<SliceId, SliceOwner> slices = new HashMap<>();
    private long handledAtMillis;
    private long pledgesAskedAtMillis = Long.MIN_VALUE / 2;
    private long statusSentAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the decisions of a process that has just started.
     *
     * @param self this process
     * @param placement how targets are chosen
     * @param startedAtMillis when the process started
     */
    public SchedulerCore(ProcessId self, PlacementStrategy placement, long startedAtMillis) {
        this.scene = new SchedulerContext(self, placement, new ProcessOperations());
        this.voter = new Voter(startedAtMillis);
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMillis time now, by this process's monotonic clock
     * @return what to do, in this order
     */
    public List<SchedulerAction> handle(SchedulerEvent event, long nowMillis) {
        noticePause(nowMillis);
        if (event instanceof SchedulerEvent.ConfigurationChanged viewed) {
            viewed(viewed, nowMillis);
        } else if (scene.isReady()) {
            handleReady(event, nowMillis);
        }
        return scene.takeActions();
    }

    /**
     * Tells whether a planned stop may end: nothing waits here, no grant can still be used, and all pledges are given
     * back.
     *
     * @param nowMillis time now
     * @return true when the process may exit
     */
    public boolean isHandoverComplete(long nowMillis) {
        return slices.values().stream().allMatch(owner -> owner.isHandoverComplete(nowMillis));
    }

    /**
     * Returns the targets whose load is to be read.
     *
     * @return names of targets of the slices that this process owns or is to own
     */
    public Set<String> targetsToPoll() {
        Set<String> targets = new LinkedHashSet<>();
        slices.values().forEach(owner -> targets.addAll(owner.targetNames()));
        return targets;
    }

    /**
     * Returns the number of the last cache event seen of a target.
     *
     * @param target name of the target
     * @return number for the next question; 0 when none was seen
     */
    public long lastCacheEventNumber(String target) {
        return scene.membership()
                .sliceOf(target)
                .map(slices::get)
                .flatMap(owner -> owner.targets().account(target))
                .map(account -> account.prefixes().lastEventNumber())
                .orElse(0L);
    }

    /**
     * Returns the hosts whose schedulers this process must be able to reach.
     *
     * @param nowMillis time now
     * @return names of hosts: voters of own slices, owners of the same services, and candidates before this host
     */
    public Set<String> requiredPeers(long nowMillis) {
        Set<String> peers = new LinkedHashSet<>();
        for (SliceOwner owner : slices.values()) {
            if (owner.needsPledges(nowMillis)) {
                peers.addAll(scene.views().voters(owner.slice()));
                peers.addAll(owners(owner.slice().getService()));
            }
            // Whether this host may take the slice over depends on whether those before it can be reached.
            scene.membership().candidates(owner.slice()).stream()
                    .map(Host::getName)
                    .takeWhile(name -> !name.equals(scene.self().host()))
                    .limit(FLOOR_CANDIDATES)
                    .forEach(peers::add);
        }
        peers.remove(scene.self().host());
        return peers;
    }

    /**
     * Describes the slices for operators.
     *
     * @param nowMillis time now
     * @return one state for each slice that is handled here
     */
    public List<SliceState> states(long nowMillis) {
        return slices.values().stream()
                .map(owner -> SliceStatusReporter.state(owner, nowMillis))
                .toList();
    }

    // A paused process wakes with the list of before. It would ask for pledges by voters that others count no more, and
    // both could have a majority; ticks that come late show the pause.
    private void noticePause(long nowMillis) {
        if (scene.isReady() && nowMillis - handledAtMillis > pauseMillis()) {
            scene.views().resetAfterPause(scene.timings(), nowMillis);
        }
        handledAtMillis = nowMillis;
    }

    // A shorter pause counts as part of the bound on the list's lag.
    private long pauseMillis() {
        return Math.max(SHORTEST_PAUSE_MILLIS, scene.timings().listLagMillis() / 2);
    }

    private void handleReady(SchedulerEvent event, long nowMillis) {
        if (event instanceof SchedulerEvent.EntryFrame frame) {
            fromEntry(frame.home(), frame.frame(), nowMillis);
        } else if (event instanceof SchedulerEvent.PeerFrame frame) {
            fromPeer(frame.scheduler(), frame.frame(), nowMillis);
        } else if (event instanceof SchedulerEvent.EntryDisconnected lost) {
            slices.values().forEach(owner -> owner.homeDisconnected(lost.home(), nowMillis));
            scene.forget(lost.home());
        } else if (event instanceof SchedulerEvent.PeerConnected up) {
            scene.reachable().add(up.scheduler().host());
            pledgesAskedAtMillis = Long.MIN_VALUE / 2;
        } else if (event instanceof SchedulerEvent.PeerDisconnected lost) {
            scene.reachable().remove(lost.scheduler().host());
        } else if (event instanceof SchedulerEvent.LoadReceived read) {
            loadRead(read, nowMillis);
        } else if (event instanceof SchedulerEvent.LoadRequestFailed failed) {
            withTarget(
                    failed.target(),
                    owner -> owner.targets().account(failed.target()).ifPresent(TargetAccount::loadUnavailable));
        } else if (event instanceof SchedulerEvent.CacheEventsReceived read) {
            withTarget(
                    read.target(),
                    owner -> owner.targets()
                            .account(read.target())
                            .ifPresent(account -> account.prefixes().applyEvents(read.events())));
        } else if (event instanceof SchedulerEvent.Leave) {
            scene.leave();
            tick(nowMillis);
        } else if (event instanceof SchedulerEvent.Tick) {
            tick(nowMillis);
        }
    }

    private void viewed(SchedulerEvent.ConfigurationChanged viewed, long nowMillis) {
        scene.update(viewed.membership(), viewed.configuration(), nowMillis);
        voter.prune(viewed.membership(), nowMillis);
        for (SliceId slice : viewed.membership().slices()) {
            boolean first = viewed.membership()
                    .wouldBeOwner(slice)
                    .filter(host -> host.getName().equals(scene.self().host()))
                    .isPresent();
            if (first) {
                slices.computeIfAbsent(slice, key -> new SliceOwner(key, scene));
            }
        }
        slices.values().forEach(owner -> owner.configurationChanged(nowMillis));
        pledgesAskedAtMillis = Long.MIN_VALUE / 2;
        tick(nowMillis);
    }

    private void fromEntry(ProcessId home, Frame frame, long nowMillis) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> scene.recordClock(home, frame.getHeartbeat().getSentAtMillis());
            case ENQUEUE -> enqueue(home, frame.getEnqueue(), nowMillis);
            case WITHDRAW -> {
                SliceOwner owner = slices.get(frame.getWithdraw().getSlice());
                if (owner != null) {
                    owner.withdraw(home, frame.getWithdraw().getRequest());
                }
            }
            case FINISHED -> {
                SliceOwner owner = slices.get(frame.getFinished().getSlice());
                if (owner != null) {
                    owner.finished(home, frame.getFinished(), nowMillis);
                }
            }
            default -> {
                // Frames that the daemon handles, or that have no meaning from an entry process.
            }
        }
    }

    private void enqueue(ProcessId home, Enqueue enqueue, long nowMillis) {
        scene.recordClock(home, enqueue.getSentAtMillis());
        SliceOwner owner = slices.computeIfAbsent(enqueue.getSlice(), key -> new SliceOwner(key, scene));
        owner.enqueue(home, enqueue, nowMillis);
        if (owner.isIdle(nowMillis)) {
            slices.remove(enqueue.getSlice());
        }
    }

    private void fromPeer(ProcessId scheduler, Frame frame, long nowMillis) {
        switch (frame.getBodyCase()) {
            case PLEDGE_REQUEST ->
                scene.sendToPeer(
                        scheduler.host(),
                        Frame.newBuilder()
                                .setPledge(voter.answer(
                                        scheduler,
                                        frame.getPledgeRequest(),
                                        scene.membership(),
                                        scene.timings(),
                                        nowMillis)));
            case HEARTBEAT -> {
                // Entries ask the next candidate once this one leaves; it must not wait for the link to go down.
                if (frame.getHeartbeat().getLeaving()) {
                    scene.reachable().remove(scheduler.host());
                }
            }
            case PLEDGE -> pledged(scheduler.host(), frame.getPledge(), nowMillis);
            case PLEDGE_RELEASE ->
                voter.release(
                        scheduler,
                        frame.getPledgeRelease().getSlicesList(),
                        frame.getPledgeRelease().getClean(),
                        scene.timings(),
                        nowMillis);
            case FLOOR_RAISE -> floorRaised(scheduler.host(), frame.getFloorRaise(), nowMillis);
            case FLOOR_CLEARED -> {
                scene.floors().recordCleared(scheduler.host(), frame.getFloorCleared());
                decide(frame.getFloorCleared().getService(), nowMillis);
            }
            case FLOOR_LOWER ->
                scene.floors()
                        .removeRemote(
                                scheduler.host(),
                                frame.getFloorLower().getService(),
                                frame.getFloorLower().getFloor());
            default -> {
                // Frames that the daemon handles, or that have no meaning from a scheduler.
            }
        }
    }

    private void pledged(String host, Pledge pledge, long nowMillis) {
        for (int i = 0; i < pledge.getSlicesCount(); i++) {
            SliceOwner owner = slices.get(pledge.getSlices(i));
            if (owner != null && owner.needsPledges(nowMillis)) {
                owner.pledgeReceived(host, pledge, i, nowMillis);
                owner.schedule(nowMillis);
            }
        }
    }

    private void floorRaised(String host, FloorRaise raise, long nowMillis) {
        scene.floors().addRemote(host, raise, nowMillis);
        evictBelow(raise.getService(), raise.getRank(), nowMillis);
        scene.sendToPeer(
                host,
                Frame.newBuilder()
                        .setFloorCleared(FloorCleared.newBuilder()
                                .setService(raise.getService())
                                .setRank(raise.getRank())
                                .setFloor(raise.getFloor())));
    }

    private void loadRead(SchedulerEvent.LoadReceived read, long nowMillis) {
        withTarget(read.target(), owner -> {
            owner.targets()
                    .account(read.target())
                    .ifPresent(account ->
                            account.addReading(read.load(), read.requestedAtMillis(), nowMillis, scene.timings()));
            owner.schedule(nowMillis);
        });
    }

    private void withTarget(String target, Consumer<SliceOwner> action) {
        for (SliceOwner owner : slices.values()) {
            if (owner.targets().account(target).isPresent()) {
                action.accept(owner);
            }
        }
    }

    private void tick(long nowMillis) {
        Membership membership = scene.membership();
        scene.views().prune(nowMillis - scene.timings().maxLoadAgeMillis());
        askForPledges(nowMillis);
        slices.values().forEach(owner -> owner.schedule(nowMillis));
        tendFloors(nowMillis);
        slices.values()
                .removeIf(owner -> owner.isIdle(nowMillis)
                        || !membership.slices().contains(owner.slice()) && owner.isHandoverComplete(nowMillis));
        if (nowMillis - statusSentAtMillis >= STATUS_MILLIS) {
            statusSentAtMillis = nowMillis;
            slices.values().forEach(owner -> SliceStatusReporter.send(owner, scene, nowMillis));
        }
    }

    private void askForPledges(long nowMillis) {
        if (nowMillis - pledgesAskedAtMillis < scene.timings().pledgeMillis() / RENEWALS_PER_PLEDGE) {
            return;
        }
        pledgesAskedAtMillis = nowMillis;
        Map<String, PledgeRequest.Builder> requests = new TreeMap<>();
        for (SliceOwner owner : slices.values()) {
            if (owner.needsPledges(nowMillis)) {
                for (String host : scene.views().voters(owner.slice())) {
                    requests.computeIfAbsent(host, key -> PledgeRequest.newBuilder())
                            .addSlices(owner.slice());
                }
            }
        }
        requests.forEach(
                (host, request) -> ask(host, request.setSentAtMillis(nowMillis).build(), nowMillis));
    }

    private void ask(String host, PledgeRequest request, long nowMillis) {
        if (host.equals(scene.self().host())) {
            Pledge pledge = voter.answer(scene.self(), request, scene.membership(), scene.timings(), nowMillis);
            pledged(host, pledge, nowMillis);
        } else {
            scene.sendToPeer(host, Frame.newBuilder().setPledgeRequest(request));
        }
    }

    private void tendFloors(long nowMillis) {
        scene.floors().lowerUnneeded(nowMillis).forEach((service, floor) -> {
            for (String host : owners(service)) {
                scene.sendToPeer(
                        host,
                        Frame.newBuilder()
                                .setFloorLower(FloorLower.newBuilder()
                                        .setService(service)
                                        .setFloor(floor)));
            }
        });
        for (String service : scene.floors().servicesToAnnounce(nowMillis)) {
            announceFloor(service, nowMillis);
        }
    }

    private void announceFloor(String service, long nowMillis) {
        Set<String> owners = owners(service);
        FloorRaise raise = scene.floors().announce(service, owners, nowMillis);
        for (String host : owners) {
            scene.sendToPeer(host, Frame.newBuilder().setFloorRaise(raise));
        }
    }

    private Set<String> owners(String service) {
        Set<String> owners = new LinkedHashSet<>();
        for (SliceId slice : scene.membership().slices(service)) {
            scene.membership().candidates(slice).stream()
                    .limit(FLOOR_CANDIDATES)
                    .map(Host::getName)
                    .forEach(owners::add);
        }
        owners.remove(scene.self().host());
        return owners;
    }

    private void evictBelow(String service, int rank, long nowMillis) {
        for (SliceOwner owner : new ArrayList<>(slices.values())) {
            if (owner.slice().getService().equals(service)) {
                owner.evictBelow(rank, nowMillis);
            }
        }
    }

    private void decide(String service, long nowMillis) {
        for (SliceOwner owner : slices.values()) {
            if (owner.slice().getService().equals(service)) {
                owner.schedule(nowMillis);
            }
        }
    }

    /** What one slice asks of the whole process. */
    final class ProcessOperations {
        /** Gives the pledges of a slice back to all voters. */
        void release(SliceId slice, long nowMillis) {
            List<SliceId> released = List.of(slice);
            for (String host : scene.views().voters(slice)) {
                if (host.equals(scene.self().host())) {
                    voter.release(scene.self(), released, true, scene.timings(), nowMillis);
                } else {
                    scene.sendToPeer(
                            host,
                            Frame.newBuilder()
                                    .setPledgeRelease(PledgeRelease.newBuilder()
                                            .addSlices(slice)
                                            .setClean(true)));
                }
            }
        }

        /** Raises the floor of a service, clears the own slices first and tells the others. */
        void raiseFloor(String service, int rank, long nowMillis) {
            if (scene.floors().raise(service, rank, nowMillis)) {
                scene.count(SchedulerCounter.FLOOR_RAISED, rank);
                evictBelow(service, rank, nowMillis);
                announceFloor(service, nowMillis);
            }
        }
    }
}
