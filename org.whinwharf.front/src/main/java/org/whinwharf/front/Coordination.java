package org.whinwharf.front;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.PlacementAsk;
import org.whinwharf.wire.fleet.PlacementOutcome;
import org.whinwharf.wire.fleet.PlacementReply;
import org.whinwharf.wire.fleet.RunEvent;
import org.whinwharf.wire.fleet.RunProgress;
import org.whinwharf.wire.fleet.RunUnderWay;
import org.whinwharf.wire.fleet.RunsUnderWay;

/**
 * Places requests through the coordinator of their service, and runs the coordinator of the services that this process
 * coordinates itself.
 *
 * <p>A coordinator replies to each placement request at once, if only to say that the request is queued. A coordinator
 * that does not reply is dead, frozen, partitioned or overloaded; the request then goes to the next in rank, and after
 * that this process places it locally. A lost coordinator therefore delays its requests by 200 ms at most.
 */
final class Coordination {
    /** Interval at which an unanswered request is resent, since datagrams may be lost: ten round-trip times. */
    private static final long RESEND_INTERVAL_MILLIS = 40;
    /**
     * Interval at which the placement request of a queued request is repeated, to check that the coordinator still has
     * it.
     */
    private static final long QUEUED_REFRESH_INTERVAL_MILLIS = 300;
    /** Interval at which the lists of running requests are sent. */
    private static final long RUN_REPORT_INTERVAL_MILLIS = 1_000;
    /** Number of processes that receive these lists: the coordinator and the next in rank, so that it can take over. */
    private static final int RUN_REPORT_RECIPIENTS = 2;
    /** Number of coordinators tried for one request before it is placed locally. */
    private static final int MAX_COORDINATORS_TRIED = 2;

    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final StatedRateTracker statedRates;
    private final PeerDatagrams datagrams;
    private final Ticker ticker;
    private final Coordinator coordinator;
    private final Predicate<String> coordinatedServices;
    private final Map<Long, PlacementTicket> tickets = new LinkedHashMap<>();
    private final Map<String, String> lastCoordinators = new HashMap<>();
    private final Map<String, String> requesterIps = new HashMap<>();
    private final CoordinatorSelection selection;
    private long nextId;
    private long runsReportedAtMillis;

    /**
     * Creates the placement client and coordinator of this process.
     *
     * @param settings settings of this process
     * @param members members of the fleet
     * @param targets all known targets
     * @param statedRates rates that targets state
     * @param datagrams datagrams to and from peers
     * @param ticker monotonic clock
     * @param coordinators creates the coordinator, given the listener for its decisions
     * @param coordinatedServices matches the services whose requests a coordinator places
     */
    Coordination(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            StatedRateTracker statedRates,
            PeerDatagrams datagrams,
            Ticker ticker,
            Function<DecisionListener, Coordinator> coordinators,
            Predicate<String> coordinatedServices) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.statedRates = statedRates;
        this.datagrams = datagrams;
        this.ticker = ticker;
        this.coordinatedServices = coordinatedServices;
        selection = new CoordinatorSelection(settings.name(), members, ticker);
        coordinator = coordinators.apply(new ReplySender());
        nextId = members.localReport().getIncarnation() << 20;
        datagrams.addListener(this::receive);
    }

    long nowMillis() {
        return ticker.nowMillis();
    }

    /** Returns the number of organisations that wait at the local coordinator because they have used their share. */
    int limitedOrganisations() {
        return coordinator.limitedOrganisations();
    }

    /** Returns the largest use of an organisation at the local coordinator relative to its share. */
    double largestUseRatio() {
        return coordinator.largestUseRatio();
    }

    /** Tells whether a coordinator places the requests of a service. */
    boolean isCoordinated(String service) {
        return coordinatedServices.test(service);
    }

    /** Tells whether this process is the coordinator of a service. */
    boolean isLocalCoordinator(String service) {
        return coordinatorOf(service)
                .filter(report -> report.getName().equals(settings.name()))
                .isPresent();
    }

    /** Tells whether another process coordinates a service, and so admits its requests against their quotas. */
    boolean hasRemoteCoordinator(String service) {
        return coordinatorOf(service)
                .filter(report -> !report.getName().equals(settings.name()))
                .isPresent();
    }

    /** Returns how many processes that are heard from rank before this one as coordinators of a service. */
    int localRank(String service) {
        return selection.localRank(service);
    }

    /** Returns the names of the coordinators of the given services, as far as they have one. */
    Set<String> coordinators(Collection<String> services) {
        Set<String> names = new LinkedHashSet<>();
        services.forEach(service -> coordinatorOf(service).ifPresent(report -> names.add(report.getName())));
        return names;
    }

    /**
     * Returns the addresses of the highest-ranked coordinators of each service with requests in flight here, and of
     * those whose requests this process may count as their coordinator.
     */
    Collection<String> coordinatorIps() {
        Set<String> ips = new LinkedHashSet<>();
        Set<String> services = activeServices();
        services.addAll(statedRates.services());
        services.forEach(service -> selection.ranking(service).stream()
                .limit(RUN_REPORT_RECIPIENTS)
                .forEach(report -> ips.add(report.getIp())));
        return ips;
    }

    /** Tells whether a request of this process, or one queued at the local coordinator, has no target yet. */
    boolean hasPendingRequests() {
        if (coordinator.queuedRequests() > 0) {
            return true;
        }
        for (PlacementTicket ticket : tickets.values()) {
            if (!ticket.settled()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of requests of all processes that are queued at the local coordinator. */
    int queuedRequests() {
        return coordinator.queuedRequests();
    }

    /**
     * Requests a target for a request; the outcome is passed to the listener. Suspects have a coordinator in every
     * service, since only one process can keep them apart.
     *
     * @param suspect content of the request if a target may have crashed under it
     */
    void requestPlacement(String service, Optional<Fingerprint> suspect, PlacementListener listener) {
        PlacementTicket ticket = new PlacementTicket(this, nextId++, service, listener, suspect);
        tickets.put(ticket.id(), ticket);
        listener.ticketIssued(ticket);
        sendToCoordinator(ticket);
    }

    /** Registers a request that this process placed itself; coordinators learn of it from the next list. */
    PlacementTicket placedLocally(String service, Optional<Fingerprint> suspect, Candidate candidate) {
        PlacementTicket ticket = new PlacementTicket(this, nextId++, service, null, suspect);
        ticket.placed(candidate.state().target().id(), candidate.uncachedTokens());
        if (coordinatedServices.test(service)) {
            tickets.put(ticket.id(), ticket);
        }
        return ticket;
    }

    private void sendToCoordinator(PlacementTicket ticket) {
        Optional<MemberReport> next = ticket.coordinatorsTried() >= MAX_COORDINATORS_TRIED
                ? Optional.empty()
                : selection.ranking(ticket.service()).stream().findFirst();
        if (next.isEmpty()) {
            tickets.remove(ticket.id());
            ticket.listener().coordinatorUnavailable();
            return;
        }
        ticket.requestedFrom(next.get().getName(), next.get().getIp(), ticker.nowMillis());
        recordCoordinator(ticket.service(), next.get().getName());
        sendRequest(ticket);
    }

    private void sendRequest(PlacementTicket ticket) {
        PlacementAsk request = ticket.listener().placementRequest(ticket.id());
        if (ticket.coordinatorName().equals(settings.name())) {
            receiveRequest(settings.name(), request, ticker.nowMillis());
        } else {
            datagrams.send(datagram().addAsks(request).build(), ticket.coordinatorIp());
        }
    }

    private void recordCoordinator(String service, String name) {
        String previous = lastCoordinators.put(service, name);
        if (!name.equals(previous)) {
            reportRuns(service);
            EventLog.event(LogEvent.COORDINATOR_CHANGED)
                    .with(EventField.SERVICE, service)
                    .with(EventField.FROM, previous == null ? "" : previous)
                    .with(EventField.TO, name)
                    .call();
        }
    }

    /**
     * Resends unanswered placement requests, skips silent and leaving coordinators and advances the local coordinator.
     */
    void tick() {
        long nowMillis = ticker.nowMillis();
        coordinator.advance(nowMillis);
        List<PlacementTicket> unplaced =
                tickets.values().stream().filter(ticket -> !ticket.settled()).toList();
        if (!unplaced.isEmpty()) {
            Set<String> leaving = members.leavingNames();
            unplaced.forEach(ticket -> checkUnplaced(ticket, leaving, nowMillis));
        }
        if (nowMillis - runsReportedAtMillis >= RUN_REPORT_INTERVAL_MILLIS) {
            runsReportedAtMillis = nowMillis;
            activeServices().forEach(this::reportRuns);
        }
    }

    private void checkUnplaced(PlacementTicket ticket, Set<String> leaving, long nowMillis) {
        if (ticket.settled()) {
            // A report on another ticket may have settled it.
            return;
        }
        if (ticket.isQueued() && leaving.contains(ticket.coordinatorName()) && hasOtherCoordinator(ticket, leaving)) {
            // At the old coordinator it would wait until that one halts, and compete with what the next one places.
            report(ticket, RunEvent.RUN_GIVEN_UP, 0);
            ticket.withdrawn();
            sendToCoordinator(ticket);
            return;
        }
        if (ticket.coordinatorName().equals(settings.name())) {
            return;
        }
        if (ticket.isQueued()) {
            if (nowMillis - ticket.requestedAtMillis() >= QUEUED_REFRESH_INTERVAL_MILLIS) {
                ticket.refreshed(nowMillis);
                sendRequest(ticket);
            }
            return;
        }
        if (nowMillis - ticket.requestedAtMillis() >= settings.coordinatorTimeoutMillis()) {
            selection.skip(ticket.coordinatorName());
            FrontLog.coordinatorSilent(ticket, nowMillis - ticket.requestedAtMillis());
            report(ticket, RunEvent.RUN_GIVEN_UP, 0);
            sendToCoordinator(ticket);
        } else if (nowMillis - ticket.sentAtMillis() >= RESEND_INTERVAL_MILLIS) {
            ticket.resent(nowMillis);
            sendRequest(ticket);
        }
    }

    private boolean hasOtherCoordinator(PlacementTicket ticket, Set<String> leaving) {
        return selection.ranking(ticket.service()).stream()
                .findFirst()
                .filter(next -> !leaving.contains(next.getName()))
                .isPresent();
    }

    /** Reports the progress of a ticket's request to its coordinator. */
    void report(PlacementTicket ticket, RunEvent event, long tookMillis) {
        report(ticket, event, tookMillis, 0);
    }

    /** Reports the same with the number of events of the answer; 0 if they were not counted. */
    void report(PlacementTicket ticket, RunEvent event, long tookMillis, int events) {
        report(ticket.coordinatorName(), ticket.coordinatorIp(), ticket.id(), event, tookMillis, events);
    }

    private void report(String name, String ip, long id, RunEvent event, long tookMillis, int events) {
        if (name.isEmpty()) {
            return;
        }
        if (name.equals(settings.name())) {
            coordinator.reportProgress(name, id, event, tookMillis, events, ticker.nowMillis());
            return;
        }
        RunProgress progress = RunProgress.newBuilder()
                .setId(id)
                .setEvent(event)
                .setTookMillis((int) tookMillis)
                .setEvents(events)
                .build();
        datagrams.send(datagram().addProgress(progress).build(), ip);
    }

    void forget(PlacementTicket ticket) {
        tickets.remove(ticket.id());
    }

    private Set<String> activeServices() {
        Set<String> services = new LinkedHashSet<>();
        tickets.values().forEach(ticket -> services.add(ticket.service()));
        return services;
    }

    private void reportRuns(String service) {
        List<RunUnderWay> runs = new ArrayList<>();
        tickets.values().stream()
                .filter(ticket -> ticket.service().equals(service))
                .forEach(ticket -> ticket.addRunTo(runs));
        List<RunsUnderWay> messages = RunLists.toMessages(service, runs);
        for (MemberReport recipient :
                selection.ranking(service).stream().limit(RUN_REPORT_RECIPIENTS).toList()) {
            if (recipient.getName().equals(settings.name())) {
                messages.forEach(message -> receiveRuns(settings.name(), message));
            } else {
                messages.forEach(
                        message -> datagrams.send(datagram().addRuns(message).build(), recipient.getIp()));
            }
        }
    }

    private Optional<MemberReport> coordinatorOf(String service) {
        return coordinatedServices.test(service)
                ? selection.ranking(service).stream().findFirst()
                : Optional.empty();
    }

    private FleetDatagram.Builder datagram() {
        return FleetDatagram.newBuilder().setFrom(settings.name());
    }

    private void receive(FleetDatagram datagram, String fromIp) {
        long nowMillis = ticker.nowMillis();
        String from = datagram.getFrom();
        if (datagram.getAsksCount() > 0) {
            requesterIps.put(from, fromIp);
            datagram.getAsksList().forEach(request -> receiveRequest(from, request, nowMillis));
        }
        datagram.getProgressList()
                .forEach(progress -> coordinator.reportProgress(
                        from,
                        progress.getId(),
                        progress.getEvent(),
                        progress.getTookMillis(),
                        progress.getEvents(),
                        nowMillis));
        datagram.getRunsList().forEach(message -> receiveRuns(from, message));
        datagram.getRepliesList().forEach(reply -> receiveReply(from, fromIp, reply));
    }

    private void receiveRuns(String from, RunsUnderWay message) {
        Map<Long, RunningRequests.Run> runs = new HashMap<>();
        message.getRunsList().forEach(run -> runs.put(run.getId(), PlacementMessages.run(run)));
        coordinator.reportInFlight(from, message.getService(), RunLists.partOf(message), runs, ticker.nowMillis());
    }

    private void receiveReply(String from, String fromIp, PlacementReply reply) {
        PlacementTicket ticket = tickets.get(reply.getId());
        boolean granted = reply.getOutcome() == PlacementOutcome.PLACEMENT_GRANTED;
        boolean current = ticket != null && ticket.coordinatorName().equals(from);
        if (!current || ticket.settled()) {
            if (granted && !(current && ticket.isPlacedAt(reply.getTarget()))) {
                // The grant is stale; without this report its slot would stay taken until the next list.
                report(from, fromIp, reply.getId(), RunEvent.RUN_GIVEN_UP, 0, 0);
            }
            return;
        }
        switch (reply.getOutcome()) {
            case PLACEMENT_GRANTED -> acceptGrant(ticket, reply);
            case PLACEMENT_WAITING -> ticket.queued(ticker.nowMillis());
            case PLACEMENT_SHED -> {
                ticket.rejected();
                ticket.listener().shed(PlacementMessages.rejectionDetails(reply));
            }
            case PLACEMENT_OVER_QUOTA -> {
                ticket.rejected();
                ticket.listener().overQuota(PlacementMessages.rejectionDetails(reply));
            }
            case PLACEMENT_QUARANTINED -> {
                ticket.rejected();
                ticket.listener().quarantined(reply.getComeBackMillis());
            }
            default ->
                FrontLog.taskFailed(
                        "placement reply",
                        new IllegalArgumentException("unknown placement outcome " + reply.getOutcome()));
        }
    }

    private void acceptGrant(PlacementTicket ticket, PlacementReply reply) {
        TargetEntry entry = targets.entry(reply.getTarget());
        boolean coldnessMissed = entry != null && entry.state().cold(ticker.nowMillis()) && !reply.getCold();
        if (entry == null
                || coldnessMissed
                || !targets.mayReceive(entry)
                || !ticket.listener().accepts(entry.state().target())) {
            // The published items are newer here than at the coordinator, so its grant cannot be used.
            declineGrant(ticket, reply);
            return;
        }
        boolean countedHere = !reply.getRateCounted() && statedRates.limits(reply.getTarget());
        if (countedHere && !statedRates.tryCount(reply.getTarget())) {
            statedRates.sendTo(reply.getTarget(), ticket.coordinatorIp());
            declineGrant(ticket, reply);
            return;
        }
        TargetState state = entry.state();
        ticket.placed(reply.getTarget(), reply.getUncachedTokens());
        ticket.listener()
                .granted(new Candidate(
                        state,
                        reply.getUncachedTokens(),
                        reply.getTokensAhead(),
                        reply.getOccupancy(),
                        reply.getPredictedMillis(),
                        reply.getPredictedMillis(),
                        0,
                        reply.getRateCounted() || countedHere));
    }

    private void declineGrant(PlacementTicket ticket, PlacementReply reply) {
        report(ticket, RunEvent.RUN_GIVEN_UP, 0);
        tickets.remove(ticket.id());
        ticket.listener().grantUnusable(reply.getTarget());
    }

    private void receiveRequest(String from, PlacementAsk request, long nowMillis) {
        coordinator.requestPlacement(PlacementMessages.placementRequest(from, request, nowMillis), nowMillis);
    }

    /** Sends the decisions of the local coordinator to the requesters. */
    private final class ReplySender implements DecisionListener {
        @Override
        public void granted(PlacementRequest request, Candidate candidate) {
            sendReply(request, PlacementMessages.granted(request, candidate));
        }

        @Override
        public void queued(PlacementRequest request) {
            sendReply(request, PlacementMessages.queued(request));
        }

        @Override
        public void shed(PlacementRequest request, RejectionDetails details) {
            sendReply(request, PlacementMessages.rejected(request, PlacementOutcome.PLACEMENT_SHED, details));
        }

        @Override
        public void overQuota(PlacementRequest request, RejectionDetails details) {
            sendReply(request, PlacementMessages.rejected(request, PlacementOutcome.PLACEMENT_OVER_QUOTA, details));
        }

        @Override
        public void quarantined(PlacementRequest request, long retryAfterMillis) {
            sendReply(request, PlacementMessages.quarantined(request, retryAfterMillis));
        }

        private void sendReply(PlacementRequest request, PlacementReply reply) {
            if (request.requester().equals(settings.name())) {
                receiveReply(settings.name(), settings.ip(), reply);
                return;
            }
            datagrams.send(datagram().addReplies(reply).build(), requesterIps.get(request.requester()));
        }
    }
}
