package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.wire.fleet.PlacementAsk;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * One request of a caller, from its last byte to the last byte of its answer.
 *
 * <p>Once a byte has left for a target, the request has perhaps run: from then on it is answered with the target's
 * answer or with a failure that promises nothing, never with a refusal that says that it has not run.
 */
final class CallerExchange implements QueuedRequest, PlacementListener, TargetListener {
    /** Time beyond its patience that a request leaves a coordinator to refuse it; then it is refused here. */
    private static final long COORDINATOR_MARGIN_MILLIS = 150;
    /** Time left below which sending is pointless: a target needs about this for its shortest answer. */
    private static final long SHORTEST_USEFUL_MILLIS = 15;

    private enum Stage {
        /** In the line of this process. */
        WAITING,
        /** A coordinator was asked for a target. */
        ASKING,
        CONNECTING,
        SENT,
        ENDED
    }

    private final Front front;
    private final CallerConnection caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final long arrivedAtMillis;
    private final CatalogFreshness knowledge;

    private final Set<String> tried = new HashSet<>();
    private RequestHead head;
    private Route route;
    private Optional<Organisation> organisation = Optional.empty();
    private String service = "";
    private int tierRank;
    private long quotaTokens;
    private long deadlineAtMillis;
    private long patienceUntilMillis;
    private Stage stage = Stage.WAITING;
    private int sends;
    private int possibleRuns;
    private boolean quotaTaken;
    private PlacementTicket ticket;
    private TargetRun visit;
    private TargetConnection link;
    private SilenceWatch silence;
    private ResponseAssembler answer;

    CallerExchange(Front front, CallerConnection caller, HttpRequest request, ByteBuf body) {
        this.front = front;
        this.caller = caller;
        this.request = request;
        this.body = body;
        arrivedAtMillis = front.nowMillis();
        knowledge = front.knowledge();
    }

    HttpMethod method() {
        return request.method();
    }

    RequestHead head() {
        return head;
    }

    /** Reads the request, has it let in, and sends it or lets it wait. */
    void start() {
        front.exchangeBegan(this);
        try {
            head = front.dialect().readRequest(request);
        } catch (BadRequestException e) {
            FrontLog.malformed(ErrorKind.MALFORMED, e.getMessage());
            refuse(new ErrorResponse(ErrorKind.MALFORMED, 0));
            return;
        }
        AdmissionControl.Result result = front.admission().decide(head, arrivedAtMillis);
        if (result instanceof AdmissionControl.Refused refused) {
            organisation = refused.organisation();
            refuse(refused.refusal());
        } else if (result instanceof AdmissionControl.Admitted admitted) {
            start(admitted);
        }
    }

    private void start(AdmissionControl.Admitted admitted) {
        route = admitted.route();
        answer = new ResponseAssembler(route, caller, front.dialect());
        organisation = admitted.organisation();
        service = admitted.service();
        tierRank = admitted.tierRank();
        quotaTokens = admitted.quotaTokens();
        quotaTaken = admitted.quotaTaken();
        deadlineAtMillis = admitted.deadlineAtMillis();
        patienceUntilMillis = admitted.patienceUntilMillis();
        front.retryBudget(service).request(arrivedAtMillis);
        place(arrivedAtMillis);
    }

    private void place(long nowMillis) {
        if (front.coordination().isCoordinated(service)) {
            stage = Stage.ASKING;
            front.coordination().requestPlacement(service, this);
        } else {
            placeHere(nowMillis);
        }
    }

    private void placeHere(long nowMillis) {
        stage = Stage.WAITING;
        if (!front.localQueues().queueOf(service).hasQueuedAhead(tierRank)
                && !tryDispatch(nowMillis).stillQueued()) {
            return;
        }
        front.localQueues().queueOf(service).add(this, nowMillis);
    }

    private Demand demand(long nowMillis) {
        return ImmutableDemand.builder()
                .service(service)
                .dataCentre(front.dataCentre())
                .model(head.model())
                .promptTokens(head.promptTokens())
                .maxAnswerTokens(head.answerTokens())
                .remainingMillis(deadlineAtMillis - nowMillis)
                .promptParts(head.promptParts())
                .tierRank(tierRank)
                .triedTargets(tried)
                .build();
    }

    @Override
    public PlacementAsk placementRequest(long id) {
        long nowMillis = front.nowMillis();
        return PlacementMessages.placementRequest(
                id,
                demand(nowMillis),
                patienceUntilMillis - nowMillis,
                onTimeUntilMillis() - nowMillis,
                organisation.filter(known -> !quotaTaken).map(Organisation::name),
                quotaTokens);
    }

    @Override
    public void ticketIssued(PlacementTicket asked) {
        ticket = asked;
    }

    @Override
    public void granted(Candidate chosen) {
        if (!quotaTaken) {
            organisation.ifPresent(
                    known -> front.quotas().admittedByCoordinator(known.name(), quotaTokens, front.nowMillis()));
            quotaTaken = true;
        }
        connect(chosen, ticket, front.nowMillis());
    }

    @Override
    public void shed(RejectionDetails grounds) {
        refuseUnplaced(grounds.retryAfterMillis(), Optional.of(grounds));
    }

    @Override
    public void overQuota(RejectionDetails grounds) {
        long comeBackMillis = Math.max(grounds.retryAfterMillis(), Front.NOT_READY_RETRY_AFTER_MILLIS);
        refuse(new ErrorResponse(ErrorKind.OVER_QUOTA, comeBackMillis, Optional.of(grounds)));
    }

    @Override
    public void coordinatorUnavailable() {
        Optional<ErrorResponse> refusal = quotaTaken
                ? Optional.empty()
                : front.admission().takeQuota(organisation, service, quotaTokens, front.nowMillis());
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        quotaTaken = true;
        placeHere(front.nowMillis());
    }

    @Override
    public int tierRank() {
        return tierRank;
    }

    @Override
    public long queueTimeoutAtMillis() {
        return patienceUntilMillis;
    }

    @Override
    public long backlogTimeoutAtMillis() {
        long onTimeMillis = QueueTimeouts.onTimeMillis(route.objectiveMillis());
        return sends > 0 ? patienceUntilMillis : arrivedAtMillis + QueueTimeouts.backlogTimeoutMillis(onTimeMillis);
    }

    @Override
    public long onTimeUntilMillis() {
        return arrivedAtMillis + QueueTimeouts.onTimeMillis(route.objectiveMillis());
    }

    @Override
    public String requiredModel() {
        return head.model();
    }

    @Override
    public DispatchResult tryDispatch(long nowMillis) {
        Optional<Candidate> chosen = front.chooseLocally(demand(nowMillis), nowMillis);
        if (chosen.isEmpty()) {
            return DispatchResult.NO_TARGET;
        }
        Candidate candidate = chosen.get();
        candidate.recordDispatch(nowMillis);
        connect(candidate, front.coordination().placedLocally(service, candidate), nowMillis);
        return DispatchResult.SENT;
    }

    @Override
    public void reject(long nowMillis) {
        refuseUnplaced(front.localQueues().retryAfterMillis(service), Optional.empty());
    }

    private void refuseUnplaced(long comeBackMillis, Optional<RejectionDetails> grounds) {
        ErrorKind kind = tried.isEmpty() ? ErrorKind.SHED : ErrorKind.TARGET_REFUSED;
        refuse(new ErrorResponse(perhapsRun() ? ErrorKind.TARGET_LOST : kind, comeBackMillis, grounds));
    }

    private void connect(Candidate chosen, PlacementTicket placement, long nowMillis) {
        stage = Stage.CONNECTING;
        ticket = placement;
        String targetId = chosen.state().target().id();
        visit = new TargetRun(front.entry(targetId), chosen, placement);
        front.prompts().reads(head.promptParts(), targetId, nowMillis);
        visit.entry().pool().acquire(!route.idempotent(), this::connected);
    }

    private void connected(Optional<TargetConnection> acquired) {
        long nowMillis = front.nowMillis();
        TargetRun current = visit;
        if (stage != Stage.CONNECTING) {
            acquired.ifPresent(unused -> current.entry().pool().release(unused));
            return;
        }
        if (acquired.isEmpty()) {
            leaveTarget(RunEvent.RUN_UNREACHABLE);
            front.targetFailed(current.entry(), TargetFailure.UNREACHABLE);
            place(nowMillis);
            return;
        }
        if (deadlineAtMillis - nowMillis < SHORTEST_USEFUL_MILLIS || !front.mayReceive(current.entry())) {
            current.entry().pool().release(acquired.get());
            leaveTarget(RunEvent.RUN_GIVEN_UP);
            place(nowMillis);
            return;
        }
        if (!caller.callerStays()) {
            // The connection's end, which is about to be told, ends this exchange too.
            current.entry().pool().release(acquired.get());
            return;
        }
        link = acquired.get();
        send(nowMillis);
    }

    private void send(long nowMillis) {
        Target target = visit.entry().state().target();
        stage = Stage.SENT;
        sends++;
        possibleRuns++;
        tried.add(target.id());
        visit.sent(nowMillis);
        silence = new SilenceWatch(route.objectiveMillis(), visit.candidate().firstEventMillis(), nowMillis);
        Optional<String> resumeAfter = answer.streamBegun() ? answer.lastEventId() : head.lastEventId();
        DispatchParameters dispatch = new DispatchParameters(
                target.id(), organisation.map(Organisation::name), deadlineAtMillis - nowMillis, resumeAfter);
        front.metrics().recordQueueTime(route.kind(), nowMillis - arrivedAtMillis);
        FrontLog.sent(this, target, nowMillis - arrivedAtMillis, visit.candidate());
        link.send(front.dialect().targetRequest(request, dispatch), body, head.attemptId(), this);
    }

    @Override
    public void head(HttpResponse response, ResponseHead read) {
        noteBytes();
        answer.head(response, read);
        if (read.status() / 100 == 2) {
            visit.succeeded();
        }
    }

    @Override
    public void content(ByteBuf piece) {
        noteBytes();
        if (answer.content(piece) && !caller.writable()) {
            link.setReading(false);
        }
    }

    void callerWritabilityChanged(boolean writable) {
        if (link != null && stage == Stage.SENT) {
            link.setReading(writable);
        }
    }

    private void noteBytes() {
        long nowMillis = front.nowMillis();
        silence.bytesReceived(nowMillis);
        visit.entry().bytesReceived(nowMillis);
        if (!visit.firstByteReceived()) {
            visit.firstByte(nowMillis);
            front.metrics().recordFirstByte(route.kind(), visit.firstByteMillis());
        }
    }

    @Override
    public void complete() {
        link = null;
        long nowMillis = front.nowMillis();
        TargetEntry entry = visit.entry();
        if (answer.refused()) {
            possibleRuns--;
            if (answer.fromOtherTarget()) {
                leaveTarget(RunEvent.RUN_UNREACHABLE);
                front.targetFailed(entry, TargetFailure.UNREACHABLE);
            } else {
                leaveTarget(RunEvent.RUN_REFUSED);
                front.targetAnsweredError(entry);
            }
            sendElsewhereOrRefuse(nowMillis);
        } else if (!answer.proper()) {
            leaveTarget(RunEvent.RUN_BROKEN);
            failedAfterSend(TargetFailure.GARBLED, nowMillis);
        } else if (answer.status() >= 500) {
            leaveTarget(RunEvent.RUN_ERRED);
            front.targetAnsweredError(entry);
            repeatOrDeliverError(nowMillis);
        } else {
            front.targetAnswered(entry);
            visit.end(RunEvent.RUN_ANSWERED, sends == 1 ? head.answerTokens() : 0, silence.lastByteAtMillis());
            leaveTarget(RunEvent.RUN_ANSWERED);
            deliver();
        }
    }

    private void repeatOrDeliverError(long nowMillis) {
        if (!canRepeat(nowMillis)) {
            deliver();
            return;
        }
        front.metrics().retried();
        FrontLog.retried(this, visit.entry().state().target(), "status " + answer.status());
        answer.reset();
        place(nowMillis);
    }

    /** Tells whether any target may have run the request, or may yet. */
    private boolean perhapsRun() {
        return possibleRuns > 0;
    }

    private void deliver() {
        front.metrics().answered();
        boolean whole = answer.endsWhole();
        FrontLog.ended(this, entry(), whole ? "answered" : "broken-off", answer.status(), ageMillis());
        stage = Stage.ENDED;
        if (whole) {
            answer.deliver();
            end();
        } else {
            end();
            breakOff(TruncationCause.PART_OF_EVENT);
        }
    }

    /** Ends the caller's connection, since an answer that began can't be completed. */
    private void breakOff(TruncationCause cause) {
        front.metrics().streamTruncated(cause);
        caller.breakOff();
    }

    @Override
    public void failed(TargetFailure failure) {
        link = null;
        leaveTarget(failure.event());
        front.targetFailed(visit.entry(), failure);
        failedAfterSend(failure, front.nowMillis());
    }

    private void failedAfterSend(TargetFailure failure, long nowMillis) {
        answer.reset();
        if (canRepeat(nowMillis)) {
            front.metrics().retried();
            FrontLog.retried(this, visit.entry().state().target(), failure.name());
            patienceUntilMillis = Math.max(patienceUntilMillis, nowMillis + route.objectiveMillis());
            place(nowMillis);
            return;
        }
        if (answer.streamBegun()) {
            FrontLog.ended(this, entry(), "broken-off", answer.status(), ageMillis());
            end();
            breakOff(TruncationCause.TARGET_LOST);
            return;
        }
        refuse(new ErrorResponse(ErrorKind.TARGET_LOST, 0));
    }

    private boolean canRepeat(long nowMillis) {
        return route.idempotent()
                && answer.canGoOn()
                && sends < route.attempts()
                && deadlineAtMillis - nowMillis > SHORTEST_USEFUL_MILLIS
                && front.retryBudget(service).tryRepeat(nowMillis, front.retryAllowance());
    }

    private void sendElsewhereOrRefuse(long nowMillis) {
        answer.reset();
        boolean budget =
                sends < route.attempts() && front.retryBudget(service).tryRepeat(nowMillis, front.retryAllowance());
        if (budget && nowMillis < patienceUntilMillis) {
            place(nowMillis);
        } else if (answer.streamBegun()) {
            FrontLog.ended(this, entry(), "broken-off", answer.status(), ageMillis());
            end();
            breakOff(TruncationCause.TARGET_LOST);
        } else {
            ErrorKind kind = perhapsRun() ? ErrorKind.TARGET_LOST : ErrorKind.TARGET_REFUSED;
            refuse(new ErrorResponse(kind, front.localQueues().retryAfterMillis(service)));
        }
    }

    private TargetEntry entry() {
        return visit == null ? null : visit.entry();
    }

    private void leaveTarget(RunEvent event) {
        if (visit != null) {
            visit.end(event, 0, front.nowMillis());
            front.localQueues().slotFreed(service);
        }
    }

    /** Looks whether time has run out or the target has fallen silent. */
    void checkTimeouts(long nowMillis) {
        if (stage == Stage.ENDED || route == null) {
            return;
        }
        if (nowMillis >= deadlineAtMillis) {
            timedOut();
            return;
        }
        if (stage == Stage.ASKING && nowMillis > patienceUntilMillis + COORDINATOR_MARGIN_MILLIS) {
            refuseUnplaced(front.localQueues().retryAfterMillis(service), Optional.empty());
            return;
        }
        if (stage != Stage.SENT) {
            return;
        }
        if (silence.targetBecameSilent(visit.entry(), answer.streamBegun(), nowMillis) && !visit.stalled()) {
            front.targetFailed(visit.entry(), TargetFailure.SILENT);
        }
        boolean stuck = silence.requestStalled(answer.streamBegun(), nowMillis);
        if (stuck && route.idempotent() && sends < route.attempts() && front.hasUntriedTarget(service, tried)) {
            link.cancel();
            link = null;
            leaveTarget(RunEvent.RUN_SILENT);
            failedAfterSend(TargetFailure.SILENT, nowMillis);
        }
    }

    private void timedOut() {
        if (stage == Stage.WAITING) {
            front.localQueues().queueOf(service).remove(this);
        }
        if (answer.streamBegun()) {
            FrontLog.ended(this, entry(), "timed-out", answer.status(), ageMillis());
            abandonTarget();
            end();
            breakOff(TruncationCause.TIMED_OUT);
            return;
        }
        boolean sent = perhapsRun();
        abandonTarget();
        refuse(
                sent
                        ? new ErrorResponse(ErrorKind.DEADLINE_RUNNING, 0)
                        : new ErrorResponse(
                                ErrorKind.HOPELESS, front.localQueues().retryAfterMillis(service)));
    }

    /**
     * Stops all work, since the caller is gone.
     *
     * @param closeCause why its connection closed
     */
    void callerDisconnected(String closeCause) {
        if (stage == Stage.ENDED) {
            return;
        }
        if (stage == Stage.WAITING && route != null) {
            front.localQueues().queueOf(service).remove(this);
        }
        abandonTarget();
        if (route != null) {
            FrontLog.callerLeft(this, entry(), closeCause, ageMillis());
        }
        if (answer != null && answer.streamBegun()) {
            front.metrics().streamTruncated(TruncationCause.CALLER_LEFT);
        }
        end();
    }

    private void abandonTarget() {
        if (link != null) {
            link.cancel();
            link = null;
        }
        leaveTarget(RunEvent.RUN_GIVEN_UP);
    }

    private void refuse(ErrorResponse refusal) {
        if (stage == Stage.ENDED) {
            return;
        }
        if (quotaTaken && !perhapsRun()) {
            organisation.ifPresent(known -> front.quotas().giveBack(known.name(), quotaTokens));
        }
        front.metrics().failed(refusal.kind());
        FrontLog.refused(this, refusal);
        end();
        if (answer != null && answer.streamBegun()) {
            breakOff(TruncationCause.REFUSED);
        } else {
            caller.answer(refusal);
        }
    }

    private void end() {
        stage = Stage.ENDED;
        if (ticket != null) {
            ticket.ended(RunEvent.RUN_GIVEN_UP, 0);
        }
        if (answer != null) {
            answer.reset();
        }
        body.release();
        front.exchangeEnded(this);
    }

    /** Returns the time from the last sending to the first byte of its answer, if that came. */
    OptionalLong firstByteMillis() {
        return visit != null && visit.firstByteReceived()
                ? OptionalLong.of(visit.firstByteMillis())
                : OptionalLong.empty();
    }

    String service() {
        return service;
    }

    /** Returns what the request uses of its organisation's quota. */
    long quotaTokens() {
        return quotaTokens;
    }

    /** Returns who decided on its placement; empty when that was this process. */
    String coordinatorName() {
        return ticket == null ? "" : ticket.coordinatorName();
    }

    /** Returns what was known when the request arrived. */
    CatalogFreshness knowledge() {
        return knowledge;
    }

    /** Returns the time since the request arrived. */
    long ageMillis() {
        return front.nowMillis() - arrivedAtMillis;
    }

    Optional<Organisation> organisation() {
        return organisation;
    }
}
