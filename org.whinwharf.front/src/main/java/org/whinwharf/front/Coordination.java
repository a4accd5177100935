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
import org.whinwharf.traffic.coordination.CoordinatorRanking;
import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.member.Member;
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
 * This process's part in the common placement of requests: it asks the coordinator of a service for targets, and
 * answers the others where it coordinates itself.
 *
 * <p>Each ask is answered at once, if only with the word that the request waits. A coordinator that does not answer is
 * dead, frozen, cut off or overloaded; then the next in rank is asked, and after that the process chooses on its own.
 * So a lost coordinator costs its requests a fifth of a second at most.
 */
final class Coordination {
    /** Time after which an unanswered ask is sent again: ten times the way there and back, a datagram may be lost. */
    private static final long RESEND_INTERVAL_MILLIS = 40;
    /** Time for which a silent coordinator is passed over: about what a restart takes. */
    private static final long SILENT_COORDINATOR_SKIP_MILLIS = 2_000;
    /** Time between asks of a request that waits; they show that the coordinator still has it. */
    private static final long QUEUED_REFRESH_INTERVAL_MILLIS = 300;
    /** Time between lists of what is under way. */
    private static final long RUN_REPORT_INTERVAL_MILLIS = 1_000;
    /** Processes that get these lists: the coordinator, and one that is ready to take over from it. */
    private static final int RUN_REPORT_RECIPIENTS = 2;
    /** Age up to which a ranking is used again; sorting ninety processes for each request would cost more than it. */
    private static final long MAX_RANKING_AGE_MILLIS = 100;
    /** Coordinators that one request is put to. */
    private static final int MAX_COORDINATORS_TRIED = 2;

    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final PeerDatagrams datagrams;
    private final Ticker ticker;
    private final Coordinator coordinator;
    private final Predicate<String> coordinatedServices;
    private final Map<Long, PlacementTicket> tickets = new LinkedHashMap<>();
    private final Map<String, Long> skippedUntilMillis = new HashMap<>();
    private final Map<String, String> lastCoordinators = new HashMap<>();
    private final Map<String, String> requesterIps = new HashMap<>();
    private final Map<String, List<MemberReport>> rankings = new HashMap<>();
    private long rankedAtMillis;
    private long nextId;
    private long runsReportedAtMillis;

    /**
     * Creates this process's part.
     *
     * @param settings settings of this process
     * @param members the fleet
     * @param targets all targets
     * @param datagrams ways to the others
     * @param ticker steady clock
     * @param coordinators builds the coordinator, given who takes its decisions
     * @param coordinatedServices tells which services are coordinated
     */
    Coordination(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            PeerDatagrams datagrams,
            Ticker ticker,
            Function<DecisionListener, Coordinator> coordinators,
            Predicate<String> coordinatedServices) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.datagrams = datagrams;
        this.ticker = ticker;
        this.coordinatedServices = coordinatedServices;
        coordinator = coordinators.apply(new ReplySender());
        nextId = members.localReport().getIncarnation() << 20;
        datagrams.addListener(this::receive);
    }

    /** Tells whether requests to a service are placed by a coordinator. */
    boolean isCoordinated(String service) {
        return coordinatedServices.test(service);
    }

    /** Tells whether this process is the coordinator of a service. */
    boolean isLocalCoordinator(String service) {
        return coordinatorOf(service)
                .filter(report -> report.getName().equals(settings.name()))
                .isPresent();
    }

    /** Tells whether another process has to be asked for the quota of requests to a service. */
    boolean hasRemoteCoordinator(String service) {
        return coordinatorOf(service)
                .filter(report -> !report.getName().equals(settings.name()))
                .isPresent();
    }

    /** Returns the addresses of the coordinators of all services with requests under way here. */
    Collection<String> coordinatorIps() {
        Set<String> ips = new LinkedHashSet<>();
        activeServices()
                .forEach(service -> ranking(service).stream()
                        .limit(RUN_REPORT_RECIPIENTS)
                        .forEach(report -> ips.add(report.getIp())));
        return ips;
    }

    /** Tells whether a request of this process, or one of another here, has no target yet. */
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

    /** Returns how many requests of all processes wait here. */
    int queuedRequests() {
        return coordinator.queuedRequests();
    }

    /** Asks for a target. */
    void requestPlacement(String service, PlacementListener listener) {
        PlacementTicket ticket = new PlacementTicket(this, nextId++, service, listener);
        tickets.put(ticket.id(), ticket);
        listener.ticketIssued(ticket);
        sendToCoordinator(ticket);
    }

    /** Notes a request that this process places on its own; coordinators hear of it with the next list. */
    PlacementTicket placedLocally(String service, Candidate candidate) {
        PlacementTicket ticket = new PlacementTicket(this, nextId++, service, null);
        ticket.placed(candidate.state().target().id(), candidate.uncachedTokens());
        if (coordinatedServices.test(service)) {
            tickets.put(ticket.id(), ticket);
        }
        return ticket;
    }

    private void sendToCoordinator(PlacementTicket ticket) {
        Optional<MemberReport> best = ticket.coordinatorsTried() >= MAX_COORDINATORS_TRIED
                ? Optional.empty()
                : coordinatorOf(ticket.service());
        if (best.isEmpty()) {
            tickets.remove(ticket.id());
            ticket.listener().coordinatorUnavailable();
            return;
        }
        ticket.requestedFrom(best.get().getName(), best.get().getIp(), ticker.nowMillis());
        recordCoordinator(ticket.service(), best.get().getName());
        sendRequest(ticket);
    }

    private void sendRequest(PlacementTicket ticket) {
        PlacementAsk ask = ticket.listener().placementRequest(ticket.id());
        if (ticket.coordinatorName().equals(settings.name())) {
            receiveRequest(settings.name(), ask, ticker.nowMillis());
        } else {
            datagrams.send(datagram().addAsks(ask).build(), ticket.coordinatorIp());
        }
    }

    private void recordCoordinator(String service, String name) {
        String before = lastCoordinators.put(service, name);
        if (!name.equals(before)) {
            reportRuns(service);
            EventLog.event(LogEvent.COORDINATOR_CHANGED)
                    .with(EventField.SERVICE, service)
                    .with(EventField.FROM, before == null ? "" : before)
                    .with(EventField.TO, name)
                    .call();
        }
    }

    /** Sends unanswered asks again, turns away from silent coordinators, and does the own coordinator's duty. */
    void tick() {
        long nowMillis = ticker.nowMillis();
        coordinator.advance(nowMillis);
        for (PlacementTicket ticket : List.copyOf(tickets.values())) {
            if (!ticket.settled() && !ticket.coordinatorName().equals(settings.name())) {
                checkUnplaced(ticket, nowMillis);
            }
        }
        if (nowMillis - runsReportedAtMillis >= RUN_REPORT_INTERVAL_MILLIS) {
            runsReportedAtMillis = nowMillis;
            activeServices().forEach(this::reportRuns);
        }
    }

    private void checkUnplaced(PlacementTicket ticket, long nowMillis) {
        if (ticket.isQueued()) {
            if (nowMillis - ticket.requestedAtMillis() >= QUEUED_REFRESH_INTERVAL_MILLIS) {
                ticket.refreshed(nowMillis);
                sendRequest(ticket);
            }
            return;
        }
        if (nowMillis - ticket.requestedAtMillis() >= settings.coordinatorTimeoutMillis()) {
            skippedUntilMillis.put(ticket.coordinatorName(), nowMillis + SILENT_COORDINATOR_SKIP_MILLIS);
            rankings.clear();
            FrontLog.coordinatorSilent(ticket, nowMillis - ticket.requestedAtMillis());
            report(ticket, RunEvent.RUN_GIVEN_UP, 0);
            sendToCoordinator(ticket);
        } else if (nowMillis - ticket.sentAtMillis() >= RESEND_INTERVAL_MILLIS) {
            ticket.resent(nowMillis);
            sendRequest(ticket);
        }
    }

    /** Tells a ticket's coordinator what became of it. */
    void report(PlacementTicket ticket, RunEvent event, long tookMillis) {
        report(ticket.coordinatorName(), ticket.coordinatorIp(), ticket.id(), event, tookMillis);
    }

    private void report(String name, String ip, long id, RunEvent event, long tookMillis) {
        if (name.isEmpty()) {
            return;
        }
        if (name.equals(settings.name())) {
            coordinator.reportProgress(name, id, event, tookMillis, ticker.nowMillis());
            return;
        }
        RunProgress progress = RunProgress.newBuilder()
                .setId(id)
                .setEvent(event)
                .setTookMillis((int) tookMillis)
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
        RunsUnderWay list =
                RunsUnderWay.newBuilder().setService(service).addAllRuns(runs).build();
        FleetDatagram message = datagram().addRuns(list).build();
        ranking(service).stream().limit(RUN_REPORT_RECIPIENTS).forEach(report -> {
            if (report.getName().equals(settings.name())) {
                receiveRuns(settings.name(), list);
            } else {
                datagrams.send(message, report.getIp());
            }
        });
    }

    private Optional<MemberReport> coordinatorOf(String service) {
        return coordinatedServices.test(service) ? ranking(service).stream().findFirst() : Optional.empty();
    }

    private List<MemberReport> ranking(String service) {
        long nowMillis = ticker.nowMillis();
        if (nowMillis - rankedAtMillis >= MAX_RANKING_AGE_MILLIS) {
            rankedAtMillis = nowMillis;
            rankings.clear();
        }
        return rankings.computeIfAbsent(service, name -> rank(name, nowMillis));
    }

    private List<MemberReport> rank(String service, long nowMillis) {
        skippedUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
        List<Member> serving = members.servingMembers(nowMillis).stream()
                .filter(member ->
                        !skippedUntilMillis.containsKey(member.report().getName()))
                .toList();
        return CoordinatorRanking.rank(service, serving);
    }

    private FleetDatagram.Builder datagram() {
        return FleetDatagram.newBuilder().setFrom(settings.name());
    }

    private void receive(FleetDatagram datagram, String fromIp) {
        long nowMillis = ticker.nowMillis();
        String from = datagram.getFrom();
        if (datagram.getAsksCount() > 0) {
            requesterIps.put(from, fromIp);
            datagram.getAsksList().forEach(ask -> receiveRequest(from, ask, nowMillis));
        }
        datagram.getProgressList()
                .forEach(progress -> coordinator.reportProgress(
                        from, progress.getId(), progress.getEvent(), progress.getTookMillis(), nowMillis));
        datagram.getRunsList().forEach(list -> receiveRuns(from, list));
        datagram.getRepliesList().forEach(reply -> receiveReply(from, fromIp, reply));
    }

    private void receiveRuns(String from, RunsUnderWay list) {
        Map<Long, RunningRequests.Run> runs = new HashMap<>();
        list.getRunsList()
                .forEach(
                        run -> runs.put(run.getId(), new RunningRequests.Run(run.getTarget(), run.getPrefillTokens())));
        coordinator.reportInFlight(from, list.getService(), runs, ticker.nowMillis());
    }

    private void receiveReply(String from, String fromIp, PlacementReply reply) {
        PlacementTicket ticket = tickets.get(reply.getId());
        boolean granted = reply.getOutcome() == PlacementOutcome.PLACEMENT_GRANTED;
        boolean current = ticket != null && ticket.coordinatorName().equals(from);
        if (!current || ticket.settled()) {
            if (granted && !(current && ticket.isPlacedAt(reply.getTarget()))) {
                // The grant came too late; the place must not stay taken until the next list.
                report(from, fromIp, reply.getId(), RunEvent.RUN_GIVEN_UP, 0);
            }
            return;
        }
        switch (reply.getOutcome()) {
            case PLACEMENT_GRANTED -> acceptGrant(ticket, reply);
            case PLACEMENT_WAITING -> ticket.queued(ticker.nowMillis());
            case PLACEMENT_SHED -> {
                ticket.refused();
                ticket.listener().shed(PlacementMessages.grounds(reply));
            }
            case PLACEMENT_OVER_QUOTA -> {
                ticket.refused();
                ticket.listener().overQuota(PlacementMessages.grounds(reply));
            }
            default ->
                FrontLog.taskFailed(
                        "reply of a coordinator",
                        new IllegalArgumentException("unknown outcome " + reply.getOutcome()));
        }
    }

    private void acceptGrant(PlacementTicket ticket, PlacementReply reply) {
        TargetEntry entry = targets.entry(reply.getTarget());
        boolean coldUnknown = entry != null && entry.state().cold(ticker.nowMillis()) && !reply.getCold();
        if (entry == null || coldUnknown || !targets.mayReceive(entry)) {
            // This process knows better than the coordinator, by items that are newer here.
            report(ticket, RunEvent.RUN_GIVEN_UP, 0);
            tickets.remove(ticket.id());
            ticket.listener().coordinatorUnavailable();
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
                        0));
    }

    private void receiveRequest(String from, PlacementAsk ask, long nowMillis) {
        coordinator.requestPlacement(PlacementMessages.placementRequest(from, ask, nowMillis), nowMillis);
    }

    /** Sends the own coordinator's decisions to those who asked. */
    private final class ReplySender implements DecisionListener {
        @Override
        public void granted(PlacementRequest ask, Candidate candidate) {
            sendReply(ask, PlacementMessages.granted(ask, candidate));
        }

        @Override
        public void queued(PlacementRequest ask) {
            sendReply(ask, PlacementMessages.waiting(ask));
        }

        @Override
        public void shed(PlacementRequest ask, RejectionDetails grounds) {
            sendReply(ask, PlacementMessages.refused(ask, PlacementOutcome.PLACEMENT_SHED, grounds));
        }

        @Override
        public void overQuota(PlacementRequest ask, RejectionDetails grounds) {
            sendReply(ask, PlacementMessages.refused(ask, PlacementOutcome.PLACEMENT_OVER_QUOTA, grounds));
        }

        private void sendReply(PlacementRequest ask, PlacementReply reply) {
            if (ask.requester().equals(settings.name())) {
                receiveReply(settings.name(), settings.ip(), reply);
                return;
            }
            datagrams.send(datagram().addReplies(reply).build(), requesterIps.get(ask.requester()));
        }
    }
}
