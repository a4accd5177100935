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
 * Decision logic of one scheduler process: it owns slices, votes on the owners of slices and takes part in the floors
 * of services.
 *
 * <p>The class is confined to one thread and does no input or output. {@link #handle} takes an event and the current
 * time and returns the actions to perform.
 */
public final class SchedulerCore {
    private static final int PLEDGE_REQUESTS_PER_VALIDITY = 3;
    private static final long STATUS_INTERVAL_MILLIS = 1_000;
    private static final long MIN_PAUSE_MILLIS = 500;
    private static final int CANDIDATES_PER_SLICE = 2;

    private final SchedulerContext context;
    private final Voter voter;
    private final Map<SliceId, SliceOwner> slices = new HashMap<>();
    private long lastEventMillis;
    private long lastPledgeRequestMillis = Long.MIN_VALUE / 2;
    private long lastStatusMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the decision logic of a process that has just started.
     *
     * @param self this process
     * @param placement strategy that chooses targets
     * @param startedAtMillis start time of the process, by its monotonic clock
     */
    public SchedulerCore(ProcessId self, PlacementStrategy placement, long startedAtMillis) {
        this.context = new SchedulerContext(self, placement, new ProcessOperations());
        this.voter = new Voter(startedAtMillis);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis current time, by this process's monotonic clock
     * @return actions to perform, in this order
     */
    public List<SchedulerAction> handle(SchedulerEvent event, long nowMillis) {
        detectPause(nowMillis);
        if (event instanceof SchedulerEvent.ConfigurationChanged change) {
            configurationChanged(change, nowMillis);
        } else if (context.isReady()) {
            handleReady(event, nowMillis);
        }
        return context.takeActions();
    }

    /**
     * Returns whether a planned stop may end: no request waits here, no grant can still be used, and all pledges are
     * released.
     *
     * @param nowMillis current time
     * @return true when the process may exit
     */
    public boolean isHandoverComplete(long nowMillis) {
        return slicesNotHandedOver(nowMillis).isEmpty();
    }

    /**
     * Returns the slices for which a planned stop must wait: a request waits here, a grant can still be used, or
     * pledges are not released.
     *
     * @param nowMillis current time
     * @return the slices, in no order
     */
    public List<SliceId> slicesNotHandedOver(long nowMillis) {
        return slices.values().stream()
                .filter(owner -> !owner.isHandoverComplete(nowMillis))
                .map(SliceOwner::slice)
                .toList();
    }

    /**
     * Returns the targets whose load must be polled.
     *
     * @return names of the targets of all slices that this process handles
     */
    public Set<String> targetsToPoll() {
        Set<String> targets = new LinkedHashSet<>();
        slices.values().forEach(owner -> targets.addAll(owner.targetNames()));
        return targets;
    }

    /**
     * Returns the number of the last cache event received from a target.
     *
     * @param target name of the target
     * @return number from which the next request for events continues; 0 when no event was received
     */
    public long lastCacheEventNumber(String target) {
        return context.membership()
                .sliceOf(target)
                .map(slices::get)
                .flatMap(owner -> owner.targets().account(target))
                .map(account -> account.prefixes().lastEventNumber())
                .orElse(0L);
    }

    /**
     * Returns the hosts to whose schedulers this process needs links.
     *
     * @param nowMillis current time
     * @return names of hosts: voters of its slices, owners of the same services, and candidates before this host
     */
    public Set<String> requiredPeers(long nowMillis) {
        Set<String> peers = new LinkedHashSet<>();
        for (SliceOwner owner : slices.values()) {
            if (owner.needsPledges(nowMillis)) {
                peers.addAll(context.views().voters(owner.slice()));
                peers.addAll(owners(owner.slice().getService()));
            }
            // This host takes a slice over only while the candidates before it are unreachable.
            context.membership().candidates(owner.slice()).stream()
                    .map(Host::getName)
                    .takeWhile(name -> !name.equals(context.self().host()))
                    .limit(CANDIDATES_PER_SLICE)
                    .forEach(peers::add);
        }
        peers.remove(context.self().host());
        return peers;
    }

    /**
     * Returns the state of the slices, for operators.
     *
     * @param nowMillis current time
     * @return one state for each slice that this process handles
     */
    public List<SliceState> states(long nowMillis) {
        return slices.values().stream()
                .map(owner -> SliceStatusReporter.state(owner, nowMillis))
                .toList();
    }

    // A paused process resumes with an outdated host list. It would request pledges from voters that other processes
    // no longer count, and two owners could each have a majority. A long gap between events indicates a pause.
    private void detectPause(long nowMillis) {
        if (context.isReady() && nowMillis - lastEventMillis > pauseThresholdMillis()) {
            context.views().resetAfterPause(context.timings(), nowMillis);
        }
        lastEventMillis = nowMillis;
    }

    // A shorter pause is covered by the bound on the list's lag.
    private long pauseThresholdMillis() {
        return Math.max(MIN_PAUSE_MILLIS, context.timings().listLagMillis() / 2);
    }

    private void handleReady(SchedulerEvent event, long nowMillis) {
        if (event instanceof SchedulerEvent.EntryFrame frame) {
            fromEntry(frame.home(), frame.frame(), nowMillis);
        } else if (event instanceof SchedulerEvent.PeerFrame frame) {
            fromPeer(frame.scheduler(), frame.frame(), nowMillis);
        } else if (event instanceof SchedulerEvent.EntryDisconnected lost) {
            slices.values().forEach(owner -> owner.homeDisconnected(lost.home(), nowMillis));
            context.forget(lost.home());
        } else if (event instanceof SchedulerEvent.PeerConnected up) {
            context.reachable().add(up.scheduler().host());
            lastPledgeRequestMillis = Long.MIN_VALUE / 2;
        } else if (event instanceof SchedulerEvent.PeerDisconnected lost) {
            context.reachable().remove(lost.scheduler().host());
        } else if (event instanceof SchedulerEvent.LoadReceived read) {
            loadReceived(read, nowMillis);
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
            context.leave();
            tick(nowMillis);
        } else if (event instanceof SchedulerEvent.Tick) {
            tick(nowMillis);
        }
    }

    private void configurationChanged(SchedulerEvent.ConfigurationChanged change, long nowMillis) {
        context.update(change.membership(), change.configuration(), nowMillis);
        voter.prune(change.membership(), nowMillis);
        for (SliceId slice : change.membership().slices()) {
            boolean first = change.membership()
                    .preferredOwner(slice)
                    .filter(host -> host.getName().equals(context.self().host()))
                    .isPresent();
            if (first) {
                slices.computeIfAbsent(slice, key -> new SliceOwner(key, context));
            }
        }
        slices.values().forEach(owner -> owner.configurationChanged(nowMillis));
        lastPledgeRequestMillis = Long.MIN_VALUE / 2;
        tick(nowMillis);
    }

    private void fromEntry(ProcessId home, Frame frame, long nowMillis) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> context.recordClock(home, frame.getHeartbeat().getSentAtMillis());
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
                // Other frames are handled by the daemon, or are not expected from an entry process.
            }
        }
    }

    private void enqueue(ProcessId home, Enqueue enqueue, long nowMillis) {
        context.recordClock(home, enqueue.getSentAtMillis());
        SliceOwner owner = slices.computeIfAbsent(enqueue.getSlice(), key -> new SliceOwner(key, context));
        owner.enqueue(home, enqueue, nowMillis);
        if (owner.isIdle(nowMillis)) {
            slices.remove(enqueue.getSlice());
        }
    }

    private void fromPeer(ProcessId scheduler, Frame frame, long nowMillis) {
        switch (frame.getBodyCase()) {
            case PLEDGE_REQUEST ->
                context.sendToPeer(
                        scheduler.host(),
                        Frame.newBuilder()
                                .setPledge(voter.answer(
                                        scheduler,
                                        frame.getPledgeRequest(),
                                        context.membership(),
                                        context.timings(),
                                        nowMillis)));
            case HEARTBEAT -> {
                // Entry processes turn to the next candidate once this scheduler leaves; that candidate must not wait
                // for the link to go down.
                if (frame.getHeartbeat().getLeaving()) {
                    context.reachable().remove(scheduler.host());
                }
            }
            case PLEDGE -> pledgeReceived(scheduler.host(), frame.getPledge(), nowMillis);
            case PLEDGE_RELEASE ->
                voter.release(
                        scheduler,
                        frame.getPledgeRelease().getSlicesList(),
                        frame.getPledgeRelease().getClean(),
                        context.timings(),
                        nowMillis);
            case FLOOR_RAISE -> floorRaiseReceived(scheduler.host(), frame.getFloorRaise(), nowMillis);
            case FLOOR_CLEARED -> {
                context.floors().recordCleared(scheduler.host(), frame.getFloorCleared());
                schedule(frame.getFloorCleared().getService(), nowMillis);
            }
            case FLOOR_LOWER ->
                context.floors()
                        .removeRemote(
                                scheduler.host(),
                                frame.getFloorLower().getService(),
                                frame.getFloorLower().getFloor());
            default -> {
                // Other frames are handled by the daemon, or are not expected from a scheduler.
            }
        }
    }

    private void pledgeReceived(String host, Pledge pledge, long nowMillis) {
        for (int i = 0; i < pledge.getSlicesCount(); i++) {
            SliceOwner owner = slices.get(pledge.getSlices(i));
            if (owner != null && owner.needsPledges(nowMillis)) {
                owner.pledgeReceived(host, pledge, i, nowMillis);
                owner.schedule(nowMillis);
            }
        }
    }

    private void floorRaiseReceived(String host, FloorRaise raise, long nowMillis) {
        context.floors().addRemote(host, raise, nowMillis);
        evictBelow(raise.getService(), raise.getRank(), nowMillis);
        context.sendToPeer(
                host,
                Frame.newBuilder()
                        .setFloorCleared(FloorCleared.newBuilder()
                                .setService(raise.getService())
                                .setRank(raise.getRank())
                                .setFloor(raise.getFloor())));
    }

    private void loadReceived(SchedulerEvent.LoadReceived read, long nowMillis) {
        withTarget(read.target(), owner -> {
            owner.targets()
                    .account(read.target())
                    .ifPresent(account ->
                            account.addReading(read.load(), read.requestedAtMillis(), nowMillis, context.timings()));
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
        Membership membership = context.membership();
        context.views().prune(nowMillis - context.timings().maxLoadAgeMillis());
        requestPledges(nowMillis);
        slices.values().forEach(owner -> owner.schedule(nowMillis));
        maintainFloors(nowMillis);
        slices.values()
                .removeIf(owner -> owner.isIdle(nowMillis)
                        || !membership.slices().contains(owner.slice()) && owner.isHandoverComplete(nowMillis));
        if (nowMillis - lastStatusMillis >= STATUS_INTERVAL_MILLIS) {
            lastStatusMillis = nowMillis;
            slices.values().forEach(owner -> SliceStatusReporter.send(owner, context, nowMillis));
        }
    }

    private void requestPledges(long nowMillis) {
        if (nowMillis - lastPledgeRequestMillis < context.timings().pledgeMillis() / PLEDGE_REQUESTS_PER_VALIDITY) {
            return;
        }
        lastPledgeRequestMillis = nowMillis;
        Map<String, PledgeRequest.Builder> requests = new TreeMap<>();
        for (SliceOwner owner : slices.values()) {
            if (owner.needsPledges(nowMillis)) {
                for (String host : context.views().voters(owner.slice())) {
                    requests.computeIfAbsent(host, key -> PledgeRequest.newBuilder())
                            .addSlices(owner.slice());
                }
            }
        }
        requests.forEach((host, request) ->
                sendPledgeRequest(host, request.setSentAtMillis(nowMillis).build(), nowMillis));
    }

    private void sendPledgeRequest(String host, PledgeRequest request, long nowMillis) {
        if (host.equals(context.self().host())) {
            Pledge pledge = voter.answer(context.self(), request, context.membership(), context.timings(), nowMillis);
            pledgeReceived(host, pledge, nowMillis);
        } else {
            context.sendToPeer(host, Frame.newBuilder().setPledgeRequest(request));
        }
    }

    private void maintainFloors(long nowMillis) {
        context.floors().lowerUnneeded(nowMillis).forEach((service, floor) -> {
            for (String host : owners(service)) {
                context.sendToPeer(
                        host,
                        Frame.newBuilder()
                                .setFloorLower(FloorLower.newBuilder()
                                        .setService(service)
                                        .setFloor(floor)));
            }
        });
        for (String service : context.floors().servicesToAnnounce(nowMillis)) {
            announceFloor(service, nowMillis);
        }
    }

    private void announceFloor(String service, long nowMillis) {
        Set<String> owners = owners(service);
        FloorRaise raise = context.floors().announce(service, owners, nowMillis);
        for (String host : owners) {
            context.sendToPeer(host, Frame.newBuilder().setFloorRaise(raise));
        }
    }

    private Set<String> owners(String service) {
        Set<String> owners = new LinkedHashSet<>();
        for (SliceId slice : context.membership().slices(service)) {
            context.membership().candidates(slice).stream()
                    .limit(CANDIDATES_PER_SLICE)
                    .map(Host::getName)
                    .forEach(owners::add);
        }
        owners.remove(context.self().host());
        return owners;
    }

    private void evictBelow(String service, int rank, long nowMillis) {
        for (SliceOwner owner : new ArrayList<>(slices.values())) {
            if (owner.slice().getService().equals(service)) {
                owner.evictBelow(rank, nowMillis);
            }
        }
    }

    private void schedule(String service, long nowMillis) {
        for (SliceOwner owner : slices.values()) {
            if (owner.slice().getService().equals(service)) {
                owner.schedule(nowMillis);
            }
        }
    }

    /** Operations of the process that a slice starts. */
    final class ProcessOperations {
        /** Releases the pledges of a slice at all voters. */
        void release(SliceId slice, long nowMillis) {
            List<SliceId> released = List.of(slice);
            for (String host : context.views().voters(slice)) {
                if (host.equals(context.self().host())) {
                    voter.release(context.self(), released, true, context.timings(), nowMillis);
                } else {
                    context.sendToPeer(
                            host,
                            Frame.newBuilder()
                                    .setPledgeRelease(PledgeRelease.newBuilder()
                                            .addSlices(slice)
                                            .setClean(true)));
                }
            }
        }

        /**
         * Raises the floor of a service, evicts requests below it from local slices and announces it to the other
         * owners.
         */
        void raiseFloor(String service, int rank, long nowMillis) {
            if (context.floors().raise(service, rank, nowMillis)) {
                context.count(SchedulerCounter.FLOOR_RAISED, rank);
                evictBelow(service, rank, nowMillis);
                announceFloor(service, nowMillis);
            }
        }
    }
}
