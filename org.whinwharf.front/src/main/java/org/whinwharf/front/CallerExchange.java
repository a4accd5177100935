package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.RouteKind;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.stream.ImmutableStreamOrigin;
import org.whinwharf.traffic.stream.StreamKey;
import org.whinwharf.traffic.stream.StreamOrigin;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.wire.fleet.PlacementAsk;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * One request of a caller, from its last byte to the last byte of the response.
 *
 * <p>Once a byte was sent to a target, the target may have executed the request. Unless the target reports that it did
 * not, the caller then gets the target's response or an error that leaves the execution open, never a rejection stating
 * that the request was not executed.
 */
final class CallerExchange implements QueuedRequest, PlacementListener {
    /**
     * Time after its queue timeout for which a request awaits a rejection by the coordinator before it is rejected
     * here.
     */
    private static final long COORDINATOR_GRACE_MILLIS = 150;
    /** Minimum time until the deadline for a dispatch: a target needs about this long for its shortest response. */
    private static final long MIN_REMAINING_MILLIS = 15;
    /** Number of targets without a path after which a request is rejected. */
    private static final int MAX_TARGETS_WITHOUT_PATH = 3;
    /** Number of targets whose process is unknown after which a stream is not continued. */
    private static final int MAX_SKIPPED_TARGETS = 12;
    /** Retry-After delay while this process reaches no target; other fronts, to which callers may turn, may do so. */
    private static final long NO_PATH_RETRY_AFTER_MILLIS = 500;
    /** Retry-After delay of a request that lost its target: until all fronts know of it. */
    private static final long SUSPECT_RETRY_AFTER_MILLIS = 100;

    /**
     * Retry-After delay of a stream that cannot be resumed: entries of targets that have lapsed with the publishing
     * service are back by then, and peers that were cut off may answer.
     */
    private static final long UNRESUMED_RETRY_AFTER_MILLIS = 2_000;
    /** Maximum time for which the end of a stream is held; callers of streams give up after longer gaps. */
    private static final long MAX_VERIFICATION_MILLIS = 1_000;
    /** Time before the deadline at which an end is held no longer: more than two ticks, and the way to the caller. */
    private static final long VERIFICATION_MARGIN_MILLIS = 150;
    /** Part of the retry budget up to which ends are verified; the rest is left to requests that have failed. */
    private static final double VERIFICATION_SHARE = 0.5;
    /** Reason for passing on an end against which nothing speaks. */
    private static final String NOT_DOUBTED = "not-doubted";
    /** Reason for what follows when no target that was asked has answered in time. */
    private static final String UNVERIFIED = "unverified";

    /**
     * End of the stream of a target.
     *
     * @param untilMillis time until which it is held at most
     * @param sentCount number of times that the request had been sent before another target was sought
     */
    private record HeldEnd(TargetEntry target, long heldAtMillis, long untilMillis, int sentCount) {}

    private enum Stage {
        /** The processes that may know where the resumed stream began are being asked. */
        RESOLVING_ORIGIN,
        /** Queued in this process. */
        QUEUED,
        /** A placement request was sent to a coordinator. */
        AWAITING_PLACEMENT,
        CONNECTING,
        /** It is being found out which processes have begun a stream and are to continue it. */
        VERIFYING_PROCESSES,
        /** To be placed in the next turn of the event loop. */
        PLACING_AGAIN,
        SENT,
        ENDED
    }

    private final Front front;
    private final CallerConnection caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final long arrivedAtMillis;
    private final CatalogFreshness catalogFreshness;

    /** Targets that the request cannot be sent to, since there is no path to them or their process is unknown. */
    private final Set<String> pathlessTargetIds = new HashSet<>();
    /** Number of them whose process is unknown. */
    private int skippedTargets;

    private RequestHead head;
    private Route route;
    private Optional<Organisation> organisation = Optional.empty();
    private String service = "";
    private int tierRank;
    private long quotaTokens;
    private long deadlineAtMillis;
    private long queueTimeoutAtMillis;
    private final StreamContinuation stream;
    private final ProcessCheck processCheck;
    /** Who knew the version of a stream that the caller resumes; empty for any other request. */
    private Optional<OriginSource> originSource = Optional.empty();

    private Stage stage = Stage.QUEUED;
    private boolean quotaConsumed;
    private PlacementTicket ticket;
    private final RequestRuns runs = new RequestRuns();
    /** The run whose response the assembler holds; null if it holds none. */
    private ActiveRun assembledRun;
    /** Time of the latest retry in the retry budget. */
    private long retryTakenAtMillis;
    /** Part of the retry budget of which it was taken. */
    private double retryTakenShare;

    private ResponseAssembler responseAssembler;
    /** Null until it is needed, since most requests need none. */
    private Fingerprint fingerprint;
    /** Null until it is needed. */
    private Set<Fingerprint> sharedParts;
    /** Whether targets may have crashed under this request, as of its latest placement. */
    private Assessment crashAssessment = Assessment.CLEAN;

    private Optional<ResponseEnding> responseEnding = Optional.empty();
    /** End of the stream that is held while another target is asked whether any event follows. */
    private Optional<HeldEnd> heldEnd = Optional.empty();
    /** Number of targets that have sent nothing after the last event, and declared no end. */
    private int emptyContinuations;
    /** Whether the stream was found to be cut, so that what follows comes from a target that was asked for the rest. */
    private boolean cutShown;
    /** Whether a target that was asked for the rest has sent a part of a further event, and none has sent it whole. */
    private boolean partFollows;

    CallerExchange(Front front, CallerConnection caller, HttpRequest request, ByteBuf body) {
        this.front = front;
        this.caller = caller;
        this.request = request;
        this.body = body;
        arrivedAtMillis = front.nowMillis();
        catalogFreshness = front.catalogFreshness();
        stream = new StreamContinuation(front);
        processCheck = new ProcessCheck(front, stream);
    }

    HttpMethod method() {
        return request.method();
    }

    RequestHead head() {
        return head;
    }

    /** Parses the request, applies admission control, and dispatches or queues the request if admitted. */
    void start() {
        front.exchangeStarted(this);
        try {
            head = front.dialect().readRequest(request);
        } catch (BadRequestException e) {
            FrontLog.malformed(ErrorKind.MALFORMED, e.getMessage());
            respondWithError(new ErrorResponse(ErrorKind.MALFORMED, 0));
            return;
        }
        AdmissionControl.Decision decision = front.admission().decide(head, arrivedAtMillis);
        if (decision instanceof AdmissionControl.Rejected rejected) {
            organisation = rejected.organisation();
            respondWithError(rejected.error());
        } else if (decision instanceof AdmissionControl.Admitted admitted) {
            start(admitted);
        }
    }

    private void start(AdmissionControl.Admitted admitted) {
        route = admitted.route();
        responseAssembler = new ResponseAssembler(route, method(), caller, front.dialect(), this::streamStartsAtCaller);
        organisation = admitted.organisation();
        tierRank = admitted.tierRank();
        quotaTokens = admitted.quotaTokens();
        deadlineAtMillis = admitted.deadlineAtMillis();
        queueTimeoutAtMillis = admitted.queueTimeoutAtMillis();
        if (!front.plannedStop().leavesTimeUntil(deadlineAtMillis)) {
            // Nothing else bounds how long targets work on it.
            rejectLate();
            return;
        }
        if (route.kind() == RouteKind.STREAMING && head.lastEventId().isPresent()) {
            findOrigin();
        } else {
            serveBy(route.selectService(head.attemptId()));
        }
    }

    /** Rejects an incomplete request with the given head that would come too late with its last byte. */
    void rejectIncomplete(RequestHead incompleteHead) {
        head = incompleteHead;
        rejectLate();
    }

    /** Rejects a request that may last longer than this process, which is stopping. */
    private void rejectLate() {
        respondWithError(new ErrorResponse(ErrorKind.HOST_LEAVING, Front.NOT_READY_RETRY_AFTER_MILLIS));
    }

    /** Finds out at which service and version the stream that the caller resumes has begun. */
    private void findOrigin() {
        stage = Stage.RESOLVING_ORIGIN;
        Optional<StreamOrigin> inferred =
                head.resumedAttemptId().isPresent() ? Optional.empty() : onlyPossibleOrigin(Map.of());
        if (inferred.isPresent()) {
            originFound(new StreamTracker.Finding(Optional.empty()));
        } else {
            front.streams().find(resumedStreamKey(), this::originFound);
        }
    }

    private void originFound(StreamTracker.Finding finding) {
        if (stage != Stage.RESOLVING_ORIGIN) {
            return;
        }
        if (finding.origin().isPresent()) {
            resumeAt(
                    finding.origin().filter(StreamOrigin::versionKnown),
                    finding.source().isEmpty() ? OriginSource.OWN : OriginSource.PEER,
                    finding);
            return;
        }
        Optional<StreamOrigin> inferred = onlyPossibleOrigin(finding.onlyVersions());
        if (inferred.isPresent()) {
            confirmInferred(finding);
        } else if (!awaitsHistory(finding)) {
            findAtTargets(finding);
        }
    }

    /**
     * Resumes at the only published version if no other one was published before the request arrived, as the stream had
     * begun before that, and no target is another process than the published one.
     */
    private void confirmInferred(StreamTracker.Finding finding) {
        front.itemConfirmation().await(arrivedAtMillis, confirmed -> {
            if (stage != Stage.RESOLVING_ORIGIN) {
                return;
            }
            Optional<StreamOrigin> current = onlyPossibleOrigin(finding.onlyVersions());
            if (confirmed && current.isPresent()) {
                confirmProcesses(current.get(), finding);
            } else {
                findAtTargets(finding);
            }
        });
    }

    private void confirmProcesses(StreamOrigin inferred, StreamTracker.Finding finding) {
        if (!front.isEngine(inferred.service())) {
            resumeAt(Optional.of(inferred), OriginSource.ONLY_VERSION, finding);
            return;
        }
        front.runInquiry().confirmPublished(inferred.service(), arrivedAtMillis, confirmed -> {
            if (stage != Stage.RESOLVING_ORIGIN) {
                return;
            }
            // Another version may have been published meanwhile.
            Optional<StreamOrigin> current = onlyPossibleOrigin(finding.onlyVersions());
            if (confirmed && current.isPresent()) {
                resumeAt(current, OriginSource.ONLY_VERSION, finding);
            } else {
                findAtTargets(finding);
            }
        });
    }

    /** Waits for the history of the publishing service, which is shorter than coming back, if it may help. */
    private boolean awaitsHistory(StreamTracker.Finding finding) {
        long remainingMillis = deadlineAtMillis - front.nowMillis() - MIN_REMAINING_MILLIS;
        return route.onlyService()
                .filter(only -> front.versions().awaitHistory(only, remainingMillis, () -> originFound(finding)))
                .isPresent();
    }

    /** Asks the targets to which the first attempt was sent whether one still works on it. */
    private void findAtTargets(StreamTracker.Finding finding) {
        Optional<String> firstAttemptId = head.resumedAttemptId();
        String firstService = route.selectService(firstAttemptId.orElse(head.attemptId()));
        if (firstAttemptId.isEmpty() || !front.isEngine(firstService)) {
            resumeAt(Optional.empty(), OriginSource.TARGET, finding);
            return;
        }
        front.runInquiry().find(firstService, firstAttemptId.get(), version -> {
            if (stage == Stage.RESOLVING_ORIGIN) {
                Optional<StreamOrigin> reported = version.map(found -> origin(firstService, found));
                // The caller may come back to another process after the run has ended.
                reported.ifPresent(front.streams()::record);
                resumeAt(reported, OriginSource.TARGET, finding);
            }
        });
    }

    private void resumeAt(Optional<StreamOrigin> origin, OriginSource source, StreamTracker.Finding finding) {
        if (origin.isEmpty()) {
            notResumed(ResumptionOutcome.UNKNOWN, finding.silentProcesses());
        } else if (!route.leadsTo(origin.get().service())) {
            stream.resumes(origin.get());
            notResumed(ResumptionOutcome.ROUTE_CHANGED, finding.silentProcesses());
        } else {
            FrontLog.originFound(this, origin.get(), source, finding);
            originSource = Optional.of(source);
            stream.resumes(origin.get());
            serveBy(origin.get().service());
        }
    }

    private StreamOrigin origin(String originService, String version) {
        return ImmutableStreamOrigin.builder()
                .key(resumedStreamKey())
                .service(originService)
                .version(version)
                .recordedAtMillis(front.nowMillis())
                .build();
    }

    /**
     * Returns the origin of a stream that no process knows, if it can only have begun at one service and version.
     *
     * @param certifiedVersions versions that peers say are the only ones of their services
     */
    private Optional<StreamOrigin> onlyPossibleOrigin(Map<String, String> certifiedVersions) {
        return route.onlyService()
                .flatMap(only -> front.versions()
                        .onlyVersion(
                                only,
                                Optional.ofNullable(certifiedVersions.get(only)),
                                StreamOrigins.maxAgeMillis(route.timeoutMillis()))
                        .map(version -> origin(only, version)));
    }

    private StreamKey resumedStreamKey() {
        return streamKey(head.resumedAttemptId().orElse(head.attemptId()));
    }

    private StreamKey streamKey(String attemptId) {
        return StreamKey.of(organisation.map(Organisation::name).orElse(""), attemptId);
    }

    /** Consumes the quota unless another process coordinates the service, and places the request. */
    private void serveBy(String chosenService) {
        service = chosenService;
        boolean remoteCoordinator =
                organisation.isPresent() && front.coordination().hasRemoteCoordinator(service);
        if (!remoteCoordinator) {
            Optional<ErrorResponse> error =
                    front.admission().consumeQuota(organisation, service, quotaTokens, front.nowMillis());
            if (error.isPresent()) {
                respondWithError(error.get());
                return;
            }
            quotaConsumed = true;
        }
        front.retryBudget(service).recordRequest(arrivedAtMillis);
        place(front.nowMillis());
    }

    /** Binds a stream whose first event is about to reach the caller to the version of its target. */
    private void streamStartsAtCaller() {
        if (stream.isBound()) {
            stream.continued();
        } else if (route.resumable()) {
            TargetRun run = runs.latest().run();
            ProcessKnowledge knowledge = front.knowledgeOf(run);
            if (knowledge != ProcessKnowledge.CONFIRMED) {
                FrontLog.originOpen(this, run, knowledge);
            }
            stream.began(streamKey(head.attemptId()), run, knowledge);
        }
    }

    /** Ends a request whose stream cannot be resumed, though another target may serve a new one. */
    private void notResumed(ResumptionOutcome outcome, int silentProcesses) {
        if (runs.replacing()) {
            keepSilentRun();
            return;
        }
        if (versionAtWork().isPresent() && !stream.isBound()) {
            respondWithError(new ErrorResponse(ErrorKind.TARGET_LOST, 0));
            return;
        }
        front.metrics().streamResumption(outcome);
        FrontLog.notResumed(this, outcome, silentProcesses);
        ErrorKind kind =
                outcome == ResumptionOutcome.UNKNOWN ? ErrorKind.STREAM_UNKNOWN : ErrorKind.VERSION_UNAVAILABLE;
        respondWithError(
                new ErrorResponse(runs.mayHaveExecuted() ? ErrorKind.TARGET_LOST : kind, UNRESUMED_RETRY_AFTER_MILLIS));
    }

    private boolean streamCanContinue() {
        return stream.isBound()
                ? stream.isPossible(runs.triedTargetIds(), pathlessTargetIds)
                : versionAtWork()
                        .map(version -> front.hasTarget(service, version, runs.triedTargetIds(), pathlessTargetIds))
                        .orElse(true);
    }

    /** Returns the version of which the next target must be; empty if any will do. */
    private Optional<String> requiredVersion() {
        return stream.isBound() ? stream.requiredVersion() : versionAtWork();
    }

    /**
     * Returns the version of a target that may work on a stream before the first event has reached the caller. What it
     * reports later is taken for the version of the stream if no process remembers that, so no other version may begin
     * the stream.
     */
    private Optional<String> versionAtWork() {
        return runs.versionAtWork()
                .filter(version -> route.resumable()
                        && front.isEngine(service)
                        && !front.versions().hasOneVersion(service));
    }

    private void place(long nowMillis) {
        if (deadlineAtMillis - nowMillis < MIN_REMAINING_MILLIS) {
            tooLateToPlace(nowMillis);
            return;
        }
        Assessment assessment = front.crashes().assess(this);
        if (assessment.quarantined()) {
            quarantined(assessment.retryAfterMillis());
            return;
        }
        if (!front.reachesTargets()) {
            rejectWithoutPath();
            return;
        }
        if (!streamCanContinue()) {
            notResumed(ResumptionOutcome.NO_TARGET, 0);
            return;
        }
        crashAssessment = assessment;
        if (assessment.suspect()) {
            // Until then it is held.
            long heldUntilMillis = Math.max(assessment.settlesAtMillis(), nowMillis + trialMillis(assessment));
            queueTimeoutAtMillis = Math.max(queueTimeoutAtMillis, heldUntilMillis + route.latencyObjectiveMillis());
        }
        if (assessment.suspect() || front.coordination().isCoordinated(service)) {
            stage = Stage.AWAITING_PLACEMENT;
            front.coordination().requestPlacement(service, suspectFingerprint(), this);
        } else {
            placeLocally(nowMillis);
        }
    }

    private void tooLateToPlace(long nowMillis) {
        if (runs.replacing()) {
            keepSilentRun();
        } else {
            deadlineReached(nowMillis);
        }
    }

    /**
     * Returns for how long a request waits for another one that shows whether targets crash under their common part.
     */
    private long trialMillis(Assessment assessment) {
        return assessment.subject().equals(fingerprint()) ? 0 : CrashTracker.MIN_WRITING_MILLIS;
    }

    private void placeLocally(long nowMillis) {
        stage = Stage.QUEUED;
        if (!front.localQueues().queueOf(service).hasQueuedAhead(tierRank)
                && !tryDispatch(nowMillis).stillQueued()) {
            return;
        }
        front.localQueues().queueOf(service).add(this, nowMillis);
    }

    private Optional<Fingerprint> suspectFingerprint() {
        return crashAssessment.suspect() ? Optional.of(crashAssessment.subject()) : Optional.empty();
    }

    private Demand demand(long nowMillis) {
        return ImmutableDemand.builder()
                .service(service)
                .dataCentre(front.dataCentre())
                .model(head.model())
                .promptTokens(head.promptTokens())
                .maxAnswerTokens(head.maxAnswerTokens())
                .estimatedAnswerTokens(estimatedAnswerTokens())
                .remainingMillis(deadlineAtMillis - nowMillis)
                .promptParts(head.promptParts())
                .tierRank(tierRank)
                .requiredVersion(requiredVersion())
                .addAllTriedTargets(runs.triedTargetIds())
                .addAllTriedTargets(pathlessTargetIds)
                .suspect(crashAssessment.suspect())
                .build();
    }

    private OptionalLong estimatedAnswerTokens() {
        return front.policy().isEnabled(Mechanism.EXPECTED_LENGTH)
                ? head.estimatedAnswerTokens()
                : OptionalLong.empty();
    }

    /** Returns the length of the answer that placement is based on, in tokens. */
    long expectedAnswerTokens() {
        return estimatedAnswerTokens().orElse(head.maxAnswerTokens());
    }

    @Override
    public PlacementAsk placementRequest(long id) {
        long nowMillis = front.nowMillis();
        PlacementAsk ask = PlacementMessages.placementRequest(
                id,
                demand(nowMillis),
                queueTimeoutAtMillis - nowMillis,
                onTimeUntilMillis() - nowMillis,
                organisation.filter(known -> !quotaConsumed).map(Organisation::name),
                quotaTokens);
        PlacementAsk shared = organisation
                .filter(known -> quotaConsumed)
                .map(known -> PlacementMessages.addChargedOrganisation(ask, known.name()))
                .orElse(ask);
        return suspectFingerprint()
                .map(suspect -> PlacementMessages.addSuspect(
                        shared, suspect, front.crashes().runsOf(suspect)))
                .orElse(shared);
    }

    @Override
    public void ticketIssued(PlacementTicket issued) {
        ticket = issued;
        ticket.sharedBy(organisationDigest(), tierRank);
    }

    @Override
    public boolean accepts(Target target) {
        return stream.isBound()
                ? stream.accepts(target)
                : versionAtWork().map(target.version()::equals).orElse(true);
    }

    @Override
    public void granted(Candidate chosen) {
        if (!quotaConsumed) {
            organisation.ifPresent(
                    known -> front.quotas().recordCoordinatorAdmission(known.name(), quotaTokens, front.nowMillis()));
            quotaConsumed = true;
        }
        connect(chosen, ticket, front.nowMillis());
    }

    @Override
    public void shed(RejectionDetails details) {
        rejectUnplaced(details.retryAfterMillis(), Optional.of(details));
    }

    @Override
    public void overQuota(RejectionDetails details) {
        long retryAfterMillis = Math.max(details.retryAfterMillis(), Front.NOT_READY_RETRY_AFTER_MILLIS);
        respondWithError(new ErrorResponse(ErrorKind.OVER_QUOTA, retryAfterMillis, Optional.of(details)));
    }

    @Override
    public void quarantined(long retryAfterMillis) {
        ErrorKind kind = runs.mayHaveExecuted() ? ErrorKind.TARGET_CRASHED : ErrorKind.QUARANTINED;
        respondWithError(new ErrorResponse(kind, retryAfterMillis));
    }

    @Override
    public void grantUnusable(String targetId) {
        if (crashAssessment.suspect()) {
            // Only the coordinator knows where other suspects run.
            placeElsewhere(targetId);
        } else {
            coordinatorUnavailable();
        }
    }

    @Override
    public void coordinatorUnavailable() {
        if (crashAssessment.suspect() && front.crashes().cutOffFromPeers()) {
            // Its peers may know of further crashes.
            rejectWithoutPath();
            return;
        }
        Optional<ErrorResponse> quotaError = quotaConsumed
                ? Optional.empty()
                : front.admission().consumeQuota(organisation, service, quotaTokens, front.nowMillis());
        if (quotaError.isPresent()) {
            respondWithError(quotaError.get());
            return;
        }
        quotaConsumed = true;
        placeLocally(front.nowMillis());
    }

    @Override
    public int tierRank() {
        return tierRank;
    }

    @Override
    public long queueTimeoutAtMillis() {
        return queueTimeoutAtMillis;
    }

    @Override
    public long backlogTimeoutAtMillis() {
        long onTimeMillis = QueueTimeouts.onTimeMillis(route.latencyObjectiveMillis());
        return runs.sentCount() > 0
                ? queueTimeoutAtMillis
                : arrivedAtMillis + QueueTimeouts.backlogTimeoutMillis(onTimeMillis);
    }

    @Override
    public long onTimeUntilMillis() {
        return arrivedAtMillis + QueueTimeouts.onTimeMillis(route.latencyObjectiveMillis());
    }

    @Override
    public long orderMillis() {
        return arrivedAtMillis;
    }

    @Override
    public String requiredModel() {
        return head.model();
    }

    @Override
    public int organisationDigest() {
        return organisation.map(known -> known.name().hashCode()).orElse(0);
    }

    @Override
    public double expectedSlotMillis() {
        return Math.max(1, TargetSpeed.assumedSlotMillis(head.promptTokens(), expectedAnswerTokens()));
    }

    @Override
    public boolean needsOneVersion() {
        return requiredVersion().isPresent();
    }

    @Override
    public DispatchResult tryDispatch(long nowMillis) {
        Assessment assessment = front.crashes().assess(this);
        if (assessment.quarantined()) {
            quarantined(assessment.retryAfterMillis());
            return DispatchResult.REJECTED;
        }
        Optional<Candidate> chosen = front.chooseLocally(demand(nowMillis), nowMillis);
        if (chosen.isEmpty()) {
            return needsOneVersion() ? DispatchResult.HELD : DispatchResult.NO_TARGET;
        }
        Candidate candidate = chosen.get();
        front.recordLocalDispatch(candidate, nowMillis);
        PlacementTicket placed = front.coordination().placedLocally(service, suspectFingerprint(), candidate);
        placed.sharedBy(organisationDigest(), tierRank);
        placed.charged(front.localQueues().charge(service, this));
        connect(candidate, placed, nowMillis);
        return DispatchResult.SENT;
    }

    @Override
    public void reject(long nowMillis) {
        rejectUnplaced(front.localQueues().retryAfterMillis(service), Optional.empty());
    }

    private void rejectUnplaced(long retryAfterMillis, Optional<RejectionDetails> details) {
        ErrorKind kind = runs.triedTargetIds().isEmpty() ? ErrorKind.SHED : ErrorKind.TARGET_REFUSED;
        respondWithError(
                new ErrorResponse(runs.mayHaveExecuted() ? ErrorKind.TARGET_LOST : kind, retryAfterMillis, details));
    }

    private void connect(Candidate chosen, PlacementTicket placement, long nowMillis) {
        stage = Stage.CONNECTING;
        ticket = placement;
        String targetId = chosen.state().target().id();
        ActiveRun placed = new ActiveRun(front, this, new TargetRun(front.entry(targetId), chosen, placement));
        runs.add(placed);
        front.prompts().recordPrefill(head.promptParts(), targetId, nowMillis);
        placed.entry().pool().acquire(connectionReuse(), result -> connectionAcquired(placed, result));
    }

    private ConnectionReuse connectionReuse() {
        if (method().equals(HttpMethod.HEAD)) {
            return ConnectionReuse.NONE;
        }
        return route.idempotent() ? ConnectionReuse.ANY : ConnectionReuse.RECENT;
    }

    private void connectionAcquired(ActiveRun current, ConnectResult result) {
        long nowMillis = front.nowMillis();
        if (stage != Stage.CONNECTING || current != runs.latest()) {
            result.connection().ifPresent(idle -> current.entry().pool().release(idle));
            return;
        }
        if (result.connection().isPresent()) {
            TargetConnection acquired = result.connection().get();
            if (stream.isBound()) {
                continueOver(current, acquired);
            } else {
                connected(acquired, nowMillis);
            }
        } else if (result.status() == ConnectResult.Status.UNREACHABLE) {
            current.end(RunEvent.RUN_UNREACHABLE);
            front.targetFailed(current.entry(), TargetFailure.UNREACHABLE);
            placeAgain();
        } else {
            current.end(RunEvent.RUN_GIVEN_UP);
            placeElsewhere(current.entry().state().target().id());
        }
    }

    /** Places the request at another target, because this process has no path to the granted one. */
    private void placeElsewhere(String pathlessTargetId) {
        pathlessTargetIds.add(pathlessTargetId);
        if (pathlessTargetIds.size() - skippedTargets < MAX_TARGETS_WITHOUT_PATH) {
            placeAgain();
        } else {
            rejectWithoutPath();
        }
    }

    /** Places the request in a new turn of the event loop: attempts that fail at once would nest without a bound. */
    private void placeAgain() {
        stage = Stage.PLACING_AGAIN;
        front.loop().execute(() -> {
            if (stage == Stage.PLACING_AGAIN) {
                place(front.nowMillis());
            }
        });
    }

    private void rejectWithoutPath() {
        ErrorKind kind = runs.mayHaveExecuted() ? ErrorKind.TARGET_LOST : ErrorKind.NO_TARGET;
        respondWithError(new ErrorResponse(kind, NO_PATH_RETRY_AFTER_MILLIS));
    }

    private void connected(TargetConnection acquired, long nowMillis) {
        ActiveRun current = runs.latest();
        Assessment assessment = front.crashes().assess(this);
        boolean becameSuspect = !crashAssessment.suspect() && assessment.suspect();
        if (deadlineAtMillis - nowMillis < MIN_REMAINING_MILLIS
                || !front.mayReceive(current.entry())
                || becameSuspect
                || assessment.quarantined()
                || !front.statedRates().admits(current.run())) {
            current.entry().pool().release(acquired);
            current.end(RunEvent.RUN_GIVEN_UP);
            placeAgain();
            return;
        }
        if (!runs.mayHaveExecuted() && !front.plannedStop().leavesTimeUntil(expectedEndMillis(current, nowMillis))) {
            current.entry().pool().release(acquired);
            current.end(RunEvent.RUN_GIVEN_UP);
            rejectLate();
            return;
        }
        if (!accepts(current.entry().state().target())) {
            current.entry().pool().release(acquired);
            current.end(RunEvent.RUN_GIVEN_UP);
            placeElsewhere(current.entry().state().target().id());
            return;
        }
        if (!caller.isCallerConnected()) {
            // The pending notification that the caller's connection closed ends this exchange too.
            current.entry().pool().release(acquired);
            return;
        }
        send(acquired, nowMillis);
    }

    /** Returns the monotonic time in milliseconds at which a run that is sent now is expected to end. */
    private long expectedEndMillis(ActiveRun placed, long nowMillis) {
        Candidate candidate = placed.run().candidate();
        double expectedMillis =
                candidate.firstEventMillis() + candidate.state().speed().estimatedAnswerMillis(expectedAnswerTokens());
        return Math.min(deadlineAtMillis, nowMillis + (long) expectedMillis);
    }

    /**
     * Continues a stream over a connection once it is known that published processes have begun it and go on with it.
     */
    private void continueOver(ActiveRun current, TargetConnection acquired) {
        long nowMillis = front.nowMillis();
        if (processCheck.passes(current.entry(), acquired)) {
            connected(acquired, nowMillis);
            return;
        }
        stage = Stage.VERIFYING_PROCESSES;
        boolean awaited = processCheck.await(
                current.entry(),
                acquired,
                deadlineAtMillis - MIN_REMAINING_MILLIS,
                () -> processesVerified(current, acquired));
        queueTimeoutAtMillis =
                Math.max(queueTimeoutAtMillis, processCheck.untilMillis() + route.latencyObjectiveMillis());
        if (!awaited) {
            giveUpTarget(current, acquired, nowMillis);
        }
    }

    /** Seeks another target for a stream; ends it if it is unknown which process has begun it. */
    private void giveUpTarget(ActiveRun current, TargetConnection acquired, long nowMillis) {
        Target target = current.entry().state().target();
        ProcessKnowledge knowledge = front.knowledgeOf(current.entry(), acquired);
        if (!knowledge.publishedVersion()) {
            FrontLog.streamTargetSkipped(this, target, knowledge, nowMillis - acquired.establishedAtMillis());
            front.metrics().streamTargetSkipped();
        }
        current.entry().pool().release(acquired);
        current.end(RunEvent.RUN_GIVEN_UP);
        if (!stream.knowledge().publishedVersion()) {
            notResumed(ResumptionOutcome.UNKNOWN, 0);
            return;
        }
        pathlessTargetIds.add(target.id());
        skippedTargets++;
        if (skippedTargets < MAX_SKIPPED_TARGETS) {
            placeAgain();
        } else {
            notResumed(ResumptionOutcome.NO_TARGET, 0);
        }
    }

    /** Goes on with a stream once nothing more is awaited of the processes of its targets. */
    private void processesVerified(ActiveRun current, TargetConnection acquired) {
        boolean usable = acquired.usable();
        boolean awaited = stage == Stage.VERIFYING_PROCESSES && current == runs.latest();
        if (usable && awaited) {
            stage = Stage.CONNECTING;
            continueOver(current, acquired);
        } else if (usable) {
            current.entry().pool().release(acquired);
        } else if (awaited) {
            acquired.close();
            current.end(RunEvent.RUN_GIVEN_UP);
            placeAgain();
        }
    }

    private void send(TargetConnection acquired, long nowMillis) {
        ActiveRun placed = runs.latest();
        TargetRun run = placed.run();
        if (runs.replacing()) {
            recordRetry(runs.lastSetAside(), TargetFailure.SILENT.name());
            if (route.kind() == RouteKind.STREAMING) {
                front.probe(placed.entry());
            }
        }
        stage = Stage.SENT;
        placed.sending(acquired, route, nowMillis);
        Target target = run.target();
        Optional<String> previousTargetId = runs.sentTargetId();
        runs.sent();
        if (run.relayed()) {
            front.metrics().relayed();
        }
        Optional<String> lastEventId =
                responseAssembler.streamStarted() ? responseAssembler.lastEventId() : head.lastEventId();
        DispatchParameters dispatch = new DispatchParameters(
                target.id(), organisation.map(Organisation::name), deadlineAtMillis - nowMillis, lastEventId);
        if (stream.isBound()) {
            processCheck.streamContinued();
            front.metrics().streamResumption(ResumptionOutcome.RESUMED);
            FrontLog.streamContinued(this, run, previousTargetId, originSource, lastEventId);
        }
        front.metrics().recordQueueTime(route.kind(), nowMillis - arrivedAtMillis);
        FrontLog.sent(this, run, nowMillis - arrivedAtMillis, lastEventId);
        placed.send(front.dialect().targetRequest(request, dispatch), body, head.attemptId());
    }

    /** Handles the head of a run's response. */
    void head(ActiveRun run, HttpResponse response, ResponseHead responseHead) {
        if (!responseHead.wrongTarget()) {
            front.rejectionLimits()
                    .answered(
                            service,
                            responseHead.rejectionLimitPerSecond(),
                            run.run().sentAtMillis());
        }
        if (runs.othersMayAnswer(run) && !answers(responseHead)) {
            refused(run, responseHead);
            return;
        }
        if (run.wasSetAside()) {
            take(run);
        } else if (runs.replacing()) {
            run.hold(response, responseHead);
            return;
        }
        acceptHead(run, response, responseHead);
    }

    /** Takes the run of a target that was silent and sends again, and ends all others. */
    private void take(ActiveRun run) {
        if (runs.replacing()) {
            endPlacement();
            runs.keepOnly(run);
            stage = Stage.SENT;
        }
    }

    private void acceptHead(ActiveRun run, HttpResponse response, ResponseHead responseHead) {
        responseAssembler.discardIncomplete();
        assembledRun = run;
        responseAssembler.head(response, responseHead);
        if (responseHead.status() / 100 == 2) {
            run.run().succeeded();
        }
    }

    /** Makes a held response the caller's, and ends the runs that were set aside for it. */
    private void acceptHeld(ActiveRun run) {
        runs.dropSetAside();
        HeldResponse held = run.held();
        acceptHead(run, held.response(), held.head());
        ByteBuf body = held.takeBody();
        run.releaseHeld();
        acceptContent(run, body);
    }

    /** Discards what came of the response of a run that has ended. */
    private void discardResponseOf(ActiveRun run) {
        if (run == assembledRun) {
            assembledRun = null;
            responseAssembler.discardIncomplete();
        }
    }

    /** Tells whether a response may be the caller's, rather than a reason to try elsewhere. */
    private boolean answers(ResponseHead head) {
        boolean success = head.status() / 100 == 2;
        boolean deliverable = success ? head.signed() : !responseAssembler.streamStarted();
        return deliverable && !head.notExecuted() && !head.wrongTarget() && head.status() < 500;
    }

    /** Handles a chunk of the body of a run's response. */
    void content(ActiveRun run, ByteBuf chunk) {
        if (run.wasSetAside()) {
            take(run);
        }
        HeldResponse held = run.held();
        if (held == null) {
            acceptContent(run, chunk);
            return;
        }
        held.append(chunk);
        if (held.bodyBytes() > Front.MAX_ANSWER_BYTES) {
            run.reject();
        } else if (route.kind() == RouteKind.STREAMING) {
            acceptHeld(run);
        }
    }

    private void acceptContent(ActiveRun run, ByteBuf chunk) {
        boolean written = responseAssembler.content(chunk);
        if (responseAssembler.events() > 0) {
            partFollows = false;
            endVerified(EndVerdict.CUT);
        } else if (heldEnd.isPresent() && responseAssembler.hasStreamData()) {
            partFollows = true;
        }
        if (responseAssembler.isOversized()) {
            run.reject();
        } else if (written && !caller.writable()) {
            run.setReading(false);
        }
    }

    void callerWritabilityChanged(boolean writable) {
        if (stage == Stage.SENT) {
            runs.latest().setReading(writable);
        }
    }

    /** Handles the end of a run's response. */
    void complete(ActiveRun run) {
        if (run.wasSetAside()) {
            take(run);
        }
        if (run.held() != null) {
            acceptHeld(run);
        }
        boolean heldEndIsWhole = heldEnd.isPresent() && !responseAssembler.hasStreamData();
        boolean nothingFollows = heldEndIsWhole || toldTwiceThatNothingFollows();
        if (!responseAssembler.notExecuted() && !responseAssembler.isComplete() && !nothingFollows) {
            if (responseAssembler.cutInsideEvent()) {
                recordEndCheck(EndVerdict.CUT);
            }
            failed(run, TargetFailure.TRUNCATED);
            return;
        }
        recordResponseEnding(ResponseEnding.COMPLETE);
        long nowMillis = front.nowMillis();
        if (responseAssembler.notExecuted()) {
            notExecuted(run, responseAssembler.fromWrongTarget());
            retryElsewhereOrReject(nowMillis);
        } else if (!responseAssembler.isDeliverable()) {
            runs.endedByTarget(run);
            run.end(RunEvent.RUN_BROKEN);
            retryOrFail(TargetFailure.GARBLED, nowMillis);
        } else if (responseAssembler.status() >= 500) {
            erred(run);
            front.crashes().served(this);
            retryOrDeliverError(nowMillis);
        } else {
            front.targetAnswered(run.entry());
            front.crashes().served(this);
            if (responseAssembler.status() / 100 == 2) {
                front.crashes().partsServed(this, run.run(), responseAssembler.endDeclared());
            }
            run.run()
                    .end(
                            RunEvent.RUN_ANSWERED,
                            runs.sentCount() == 1 ? expectedAnswerTokens() : 0,
                            responseAssembler.events(),
                            run.lastByteAtMillis());
            run.end(RunEvent.RUN_ANSWERED);
            if (nothingFollows) {
                // Also if that end is not declared either: two targets hardly cut one stream at the same place.
                endVerified(EndVerdict.WHOLE);
                deliver();
            } else if (responseAssembler.streamStarted()) {
                judgeEnd(run, nowMillis);
            } else {
                deliver();
            }
        }
    }

    /** Tells whether a second target has answered a resumed stream with nothing, and neither has declared that end. */
    private boolean toldTwiceThatNothingFollows() {
        boolean resumed =
                responseAssembler.streamStarted() || head.lastEventId().isPresent();
        if (resumed && responseAssembler.undeclaredAndEmpty()) {
            emptyContinuations++;
        }
        return emptyContinuations > 1;
    }

    /** Decides what becomes of the end of a stream, which its target may have cut if it was not declared. */
    private void judgeEnd(ActiveRun run, long nowMillis) {
        if (responseAssembler.endDeclared()) {
            deliver();
            return;
        }
        if (!front.streamEnds().doubted(service, run.entry(), verifiableShare())) {
            recordEndDecision(run.entry(), EndDecision.PASSED_ON, NOT_DOUBTED);
            deliver();
            return;
        }
        long untilMillis = Math.min(nowMillis + MAX_VERIFICATION_MILLIS, deadlineAtMillis - VERIFICATION_MARGIN_MILLIS);
        RetryDecision retry =
                nowMillis < untilMillis ? retryDecision(nowMillis, VERIFICATION_SHARE) : RetryDecision.DEADLINE;
        if (retry == RetryDecision.RETRY) {
            recordEndDecision(run.entry(), EndDecision.HELD, retry.tag());
            holdEnd(run, nowMillis, untilMillis);
        } else {
            endUnverified(run.entry(), retry.tag());
        }
    }

    /** Returns the share of the service's streams whose ends the retry budget lets verify, whatever the load. */
    private double verifiableShare() {
        return front.retryBudget(service).ratio() * VERIFICATION_SHARE;
    }

    /**
     * Ends a stream whose end is doubted and could not be verified. A caller that is told of no end has all events and
     * may resume the stream; one that takes a part for the whole cannot notice. What a target has sent that was asked
     * for the rest of the stream counts as the rest, unless it broke off inside an event.
     */
    private void endUnverified(TargetEntry target, String reason) {
        boolean mayBeWhole = cutShown || !front.streamEnds().likelyCut(service, verifiableShare());
        if (mayBeWhole && !partFollows) {
            recordEndDecision(target, EndDecision.PASSED_ON, reason);
            deliver();
            return;
        }
        recordEndDecision(target, EndDecision.LEFT_OPEN, reason);
        FrontLog.ended(this, target, "end-unverified", responseAssembler.status(), ageMillis());
        end();
        abortResponse(TruncationCause.UNVERIFIED_END);
    }

    private void recordEndDecision(TargetEntry target, EndDecision decision, String reason) {
        front.metrics().streamEndJudged(decision, reason);
        FrontLog.streamEndJudged(
                this,
                target.state().target(),
                decision,
                reason,
                target.brokeOffAgeMillis(front.nowMillis()),
                front.retryBudget(service),
                front.retryAllowance());
    }

    /** Records what is shown of the end that is held, which is not held any longer. */
    private void endVerified(EndVerdict verdict) {
        if (heldEnd.isEmpty()) {
            return;
        }
        HeldEnd held = heldEnd.get();
        heldEnd = Optional.empty();
        recordEndCheck(verdict);
        front.metrics().streamEndVerified(verdict);
        FrontLog.streamEndVerified(
                this, held.target().state().target(), verdict, front.nowMillis() - held.heldAtMillis());
    }

    private void recordEndCheck(EndVerdict verdict) {
        cutShown |= verdict == EndVerdict.CUT;
        front.streamEnds().verified(service, verdict);
    }

    /** Holds the end of a stream, and asks another target whether any event follows. */
    private void holdEnd(ActiveRun run, long nowMillis, long untilMillis) {
        recordRetry(run, "undeclared end");
        responseAssembler.discardIncomplete();
        heldEnd = Optional.of(new HeldEnd(run.entry(), nowMillis, untilMillis, runs.sentCount()));
        queueTimeoutAtMillis = Math.max(queueTimeoutAtMillis, untilMillis);
        place(nowMillis);
    }

    /** Ends a stream whose end was held and could not be verified; returns false if none was held. */
    private boolean endHeldStream() {
        if (heldEnd.isEmpty()) {
            return false;
        }
        HeldEnd held = heldEnd.get();
        endVerified(EndVerdict.UNKNOWN);
        if (runs.sentCount() == held.sentCount()) {
            front.retryBudget(service).cancelRetry(retryTakenAtMillis, retryTakenShare);
        }
        responseAssembler.discardIncomplete();
        endUnverified(held.target(), UNVERIFIED);
        return true;
    }

    private void notExecuted(ActiveRun run, boolean wrongTarget) {
        runs.notExecuted(run);
        if (wrongTarget) {
            run.end(RunEvent.RUN_UNREACHABLE);
            front.targetFailed(run.entry(), TargetFailure.UNREACHABLE);
        } else {
            run.end(RunEvent.RUN_REFUSED);
            front.targetAnsweredError(run.entry());
        }
    }

    private void erred(ActiveRun run) {
        runs.endedByTarget(run);
        run.end(RunEvent.RUN_ERRED);
        front.targetAnsweredError(run.entry());
    }

    private void recordResponseEnding(String cause) {
        responseEnding = responseAssembler.ending(cause);
        responseEnding.ifPresent(ending -> {
            front.metrics().responseEnded(ending);
            if (responseAssembler.isStream() && responseAssembler.hasStreamData()) {
                front.streamEnds().ended(service, ending.framing().endDeclared());
            }
        });
    }

    private void retryOrDeliverError(long nowMillis) {
        if (retryDecision(nowMillis) != RetryDecision.RETRY) {
            deliver();
            return;
        }
        recordRetry(runs.latest(), "status " + responseAssembler.status());
        responseAssembler.discardIncomplete();
        place(nowMillis);
    }

    private void deliver() {
        front.metrics().answered();
        FrontLog.ended(this, entry(), "answered", responseAssembler.status(), ageMillis());
        stage = Stage.ENDED;
        responseAssembler.deliver();
        end();
    }

    /** Ends a response that has started and goes on nowhere. */
    private void endStarted(String reason, TruncationCause cause) {
        if (endHeldStream()) {
            return;
        }
        FrontLog.ended(this, entry(), reason, responseAssembler.status(), ageMillis());
        end();
        abortResponse(cause);
    }

    /** Closes the caller's connection, because a response that has started cannot be completed. */
    private void abortResponse(TruncationCause cause) {
        front.metrics().streamTruncated(cause);
        caller.abort();
    }

    /** Handles the failure of a run. */
    void failed(ActiveRun run, TargetFailure failure) {
        if (failure.breaksOffResponse() && run.run().firstByteReceived()) {
            run.entry().brokeOff(front.nowMillis());
        }
        if (!runs.replacing()) {
            recordResponseEnding(failure.tag());
            run.endFailed(failure);
            retryOrFail(failure, front.nowMillis());
            return;
        }
        run.endFailed(failure);
        if (runs.isSetAside(run)) {
            if (!runs.replacementSent()) {
                recordRetry(run, failure.name());
            }
            runs.drop(run);
            discardResponseOf(run);
        } else {
            keepSilentRun();
        }
    }

    private void retryOrFail(TargetFailure failure, long nowMillis) {
        responseAssembler.discardIncomplete();
        RetryDecision decision = retryDecision(nowMillis);
        if (decision == RetryDecision.RETRY) {
            recordRetry(runs.latest(), failure.name());
            extendQueueTimeout(failure, nowMillis);
            place(nowMillis);
            return;
        }
        if (responseAssembler.streamStarted()) {
            endStarted("broken-off", failure.truncationCause());
            return;
        }
        Assessment assessment = front.crashes().assess(this);
        if (assessment.quarantined()) {
            quarantined(assessment.retryAfterMillis());
        } else {
            long retryAfterMillis = assessment.suspect() ? SUSPECT_RETRY_AFTER_MILLIS : 0;
            respondWithError(new ErrorResponse(ErrorKind.TARGET_LOST, retryAfterMillis));
        }
    }

    /** Decides whether a failed request is sent to another target, and takes the retry from the budget if so. */
    private RetryDecision retryDecision(long nowMillis) {
        return retryDecision(nowMillis, budgetShare());
    }

    /** Returns the part of the retry budget that the request may use. */
    private double budgetShare() {
        return heldEnd.isPresent() ? VERIFICATION_SHARE : 1;
    }

    /** Decides the same with a part of the budget. */
    private RetryDecision retryDecision(long nowMillis, double budgetShare) {
        if (!route.idempotent()) {
            return RetryDecision.NOT_IDEMPOTENT;
        }
        if (!responseAssembler.canResume()) {
            return RetryDecision.NOT_RESUMABLE;
        }
        if (!streamCanContinue()) {
            return RetryDecision.NO_TARGET;
        }
        if (runs.sentCount() >= route.maxAttempts()) {
            return RetryDecision.ATTEMPTS_EXHAUSTED;
        }
        if (deadlineAtMillis - nowMillis <= MIN_REMAINING_MILLIS) {
            return RetryDecision.DEADLINE;
        }
        if (front.crashes().assess(this).quarantined()) {
            return RetryDecision.QUARANTINED;
        }
        boolean allowed = front.retryBudget(service).tryRetry(nowMillis, front.retryAllowance(), budgetShare);
        retryTakenAtMillis = nowMillis;
        retryTakenShare = budgetShare;
        return allowed ? RetryDecision.RETRY : RetryDecision.BUDGET_EXHAUSTED;
    }

    /** Leaves a request that is placed anew one latency objective, from the time at which it may be sent. */
    private void extendQueueTimeout(TargetFailure failure, long nowMillis) {
        long settlingMillis =
                failure.crashEvidence().map(CrashEvidence::settlingMillis).orElse(0L);
        queueTimeoutAtMillis =
                Math.max(queueTimeoutAtMillis, nowMillis + settlingMillis + route.latencyObjectiveMillis());
    }

    private void recordRetry(ActiveRun failedRun, String reason) {
        front.metrics().retried();
        Target failed = failedRun.run().target();
        FrontLog.retried(this, failed, reason, front.retryBudget(service), front.retryAllowance(), front.knownPeers());
    }

    private void retryElsewhereOrReject(long nowMillis) {
        responseAssembler.discardIncomplete();
        Assessment assessment = front.crashes().assess(this);
        if (assessment.quarantined()) {
            quarantined(assessment.retryAfterMillis());
            return;
        }
        boolean mayRetry = runs.sentCount() < route.maxAttempts()
                && front.retryBudget(service).tryRetry(nowMillis, front.retryAllowance(), budgetShare());
        if (mayRetry && nowMillis < queueTimeoutAtMillis) {
            recordRetry(runs.latest(), "not executed");
            place(nowMillis);
        } else if (responseAssembler.streamStarted()) {
            endStarted("broken-off", TruncationCause.TARGET_LOST);
        } else {
            ErrorKind kind = runs.mayHaveExecuted() ? ErrorKind.TARGET_LOST : ErrorKind.TARGET_REFUSED;
            respondWithError(new ErrorResponse(kind, front.localQueues().retryAfterMillis(service)));
        }
    }

    /** Returns the digest of the request's content. */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            Fingerprint.Builder content = new Fingerprint.Builder()
                    .add(organisation.map(Organisation::name).orElse(""))
                    .add(method().name())
                    .add(head.authority())
                    .add(request.uri())
                    .add(head.model());
            head.promptParts().forEach(part -> content.add(part.id()));
            fingerprint = content.add(body.nioBuffer()).build();
        }
        return fingerprint;
    }

    /** Returns the digests of the parts of the prompt that other requests may share. */
    Set<Fingerprint> sharedParts() {
        if (sharedParts == null) {
            sharedParts = Fingerprint.ofSharedParts(head.promptParts());
        }
        return sharedParts;
    }

    /** Returns the target of the latest run; null before the first. */
    TargetEntry entry() {
        return runs.latest() == null ? null : runs.latest().entry();
    }

    /** Checks the deadline, the queue timeout and whether the target has fallen silent. */
    void checkTimeouts(long nowMillis) {
        if (stage == Stage.ENDED || route == null) {
            return;
        }
        if (nowMillis >= deadlineAtMillis) {
            deadlineReached(nowMillis);
            return;
        }
        boolean heldTooLong = heldEnd.isPresent() && nowMillis >= heldEnd.get().untilMillis();
        if (heldTooLong && responseAssembler.hasStreamData()) {
            // An event is on its way.
            endVerified(EndVerdict.CUT);
        } else if (heldTooLong) {
            removeFromQueue();
            abandonRuns(nowMillis);
            endHeldStream();
            return;
        }
        boolean unplaced = stage == Stage.QUEUED || stage == Stage.AWAITING_PLACEMENT;
        Assessment assessment = unplaced ? front.crashes().assess(this) : Assessment.CLEAN;
        if (assessment.quarantined()) {
            removeFromQueue();
            quarantined(assessment.retryAfterMillis());
            return;
        }
        if (unplaced && !streamCanContinue()) {
            removeFromQueue();
            notResumed(ResumptionOutcome.NO_TARGET, 0);
            return;
        }
        if (stage == Stage.AWAITING_PLACEMENT && nowMillis > queueTimeoutAtMillis + COORDINATOR_GRACE_MILLIS) {
            rejectUnplaced(front.localQueues().retryAfterMillis(service), Optional.empty());
            return;
        }
        stream.refresh(nowMillis);
        if (stage == Stage.SENT && !caller.writable()) {
            runs.latest().heldUpByCaller(nowMillis);
            return;
        }
        runs.reviewSilence(responseAssembler.streamStarted(), nowMillis);
        if (runs.overlapTooLong(route.kind(), nowMillis)) {
            dropSilentRuns();
        } else if (stage == Stage.SENT && runs.needReplacement(responseAssembler.streamStarted(), nowMillis)) {
            replaceIfAllowed(nowMillis);
        }
    }

    /** Seeks another target for a request whose target is silent; its run goes on meanwhile. */
    private void replaceIfAllowed(long nowMillis) {
        boolean noTarget =
                route.idempotent() && !front.hasUntriedTarget(service, requiredVersion(), runs.triedTargetIds());
        RetryDecision decision = noTarget ? RetryDecision.NO_TARGET : retryDecision(nowMillis);
        recordSilence(decision, nowMillis);
        if (decision != RetryDecision.RETRY) {
            runs.postponeReplacement(nowMillis);
            return;
        }
        runs.beginReplacement();
        ticket = null;
        extendQueueTimeout(TargetFailure.SILENT, nowMillis);
        place(nowMillis);
    }

    /** Gives up the search for another target, and returns its retry to the budget if it was not sent. */
    private void endPlacement() {
        removeFromQueue();
        if (ticket != null) {
            ticket.ended(RunEvent.RUN_GIVEN_UP, 0);
        }
        if (!runs.replacementSent()) {
            front.retryBudget(service).cancelRetry(retryTakenAtMillis, retryTakenShare);
        }
    }

    /** Ends all runs, and returns the retry of a replacement that was not sent. */
    private void abandonRuns(long nowMillis) {
        if (runs.replacing() && !runs.replacementSent()) {
            front.retryBudget(service).cancelRetry(retryTakenAtMillis, retryTakenShare);
        }
        runs.abandon(nowMillis);
    }

    /** Goes on awaiting the response of the silent target, and seeks another one later. */
    private void keepSilentRun() {
        endPlacement();
        runs.withdrawReplacement();
        stage = Stage.SENT;
        runs.postponeReplacement(front.nowMillis());
    }

    /** Gives up the silent targets for the one that the request was sent to after them. */
    private void dropSilentRuns() {
        runs.dropSetAside();
        if (assembledRun != runs.latest()) {
            discardResponseOf(assembledRun);
        }
    }

    /** Handles a response that is no answer, while another run may still bring one. */
    private void refused(ActiveRun run, ResponseHead responseHead) {
        if (responseHead.notExecuted() || responseHead.wrongTarget()) {
            notExecuted(run, responseHead.wrongTarget());
        } else if (responseHead.status() >= 500) {
            erred(run);
        } else {
            run.end(RunEvent.RUN_BROKEN);
        }
        if (runs.isSetAside(run)) {
            runs.drop(run);
            discardResponseOf(run);
        } else {
            keepSilentRun();
        }
    }

    private void recordSilence(RetryDecision decision, long nowMillis) {
        ActiveRun run = runs.latest();
        if (run.beginSilence()) {
            front.metrics().runSilent(decision);
            FrontLog.runSilent(
                    this,
                    run.run(),
                    nowMillis - run.lastByteAtMillis(),
                    decision,
                    front.silentTargets(service, nowMillis),
                    front.reach(service));
        }
    }

    /** Returns the target from which a response is awaited over a direct connection. */
    Optional<TargetEntry> directlyAwaitedTarget() {
        return runs.awaited().filter(run -> !run.run().relayed()).map(ActiveRun::entry);
    }

    /** Returns the target that owes a response and has sent nothing for a while, to this request or any other. */
    Optional<TargetEntry> silentTarget(long nowMillis) {
        return runs.awaited().filter(run -> run.targetQuiet(nowMillis)).map(ActiveRun::entry);
    }

    private void deadlineReached(long nowMillis) {
        giveUp(
                TruncationCause.TIMED_OUT,
                new ErrorResponse(ErrorKind.DEADLINE_RUNNING, 0),
                () -> new ErrorResponse(ErrorKind.HOPELESS, front.localQueues().retryAfterMillis(service)),
                nowMillis);
    }

    /** Ends the request, because this process does; the caller is told whether it may have been executed. */
    void cutOff(long nowMillis) {
        FrontLog.cutOff(this, front.plannedStop().elapsedMillis());
        giveUp(
                TruncationCause.STOPPED,
                new ErrorResponse(ErrorKind.TARGET_LOST, 0),
                () -> new ErrorResponse(ErrorKind.HOST_LEAVING, Front.NOT_READY_RETRY_AFTER_MILLIS),
                nowMillis);
    }

    /** Ends the request and its runs, whatever its stage. */
    private void giveUp(
            TruncationCause cause, ErrorResponse ifExecuted, Supplier<ErrorResponse> ifNotExecuted, long nowMillis) {
        removeFromQueue();
        if (responseAssembler != null && responseAssembler.streamStarted()) {
            abandonRuns(nowMillis);
            endStarted(cause.tag(), cause);
            return;
        }
        boolean possiblyExecuted = runs.mayHaveExecuted();
        abandonRuns(nowMillis);
        respondWithError(possiblyExecuted ? ifExecuted : ifNotExecuted.get());
    }

    /**
     * Cancels the request, because its caller disconnected.
     *
     * @param closeCause reason why the caller's connection closed
     */
    void callerDisconnected(String closeCause) {
        if (stage == Stage.ENDED) {
            return;
        }
        removeFromQueue();
        abandonRuns(front.nowMillis());
        if (route != null) {
            FrontLog.callerLeft(this, entry(), closeCause, ageMillis());
        }
        if (responseAssembler != null && responseAssembler.streamStarted()) {
            front.metrics().streamTruncated(TruncationCause.CALLER_LEFT);
        }
        end();
    }

    private void removeFromQueue() {
        if (stage == Stage.QUEUED && route != null) {
            front.localQueues().queueOf(service).remove(this);
        }
    }

    private void respondWithError(ErrorResponse error) {
        if (stage == Stage.ENDED) {
            return;
        }
        if (runs.replacing()) {
            keepSilentRun();
            return;
        }
        if (endHeldStream()) {
            return;
        }
        if (quotaConsumed && !runs.mayHaveExecuted()) {
            organisation.ifPresent(known -> front.quotas().refund(known.name(), quotaTokens));
        }
        front.metrics().failed(error.kind());
        FrontLog.refused(this, error, front.reach(service));
        end();
        if (responseAssembler != null && responseAssembler.streamStarted()) {
            abortResponse(TruncationCause.REFUSED);
        } else {
            caller.respond(error);
        }
    }

    private void end() {
        stage = Stage.ENDED;
        if (ticket != null) {
            ticket.ended(RunEvent.RUN_GIVEN_UP, 0);
        }
        if (responseAssembler != null) {
            responseAssembler.discardIncomplete();
        }
        body.release();
        front.exchangeEnded(this);
    }

    /** Returns the time from the last dispatch to the first byte of its response; empty before that byte. */
    OptionalLong firstByteMillis() {
        return entry() != null && runs.latest().run().firstByteReceived()
                ? OptionalLong.of(runs.latest().run().firstByteMillis())
                : OptionalLong.empty();
    }

    /** Returns how far the handling of the request has got, for logs. */
    String stageTag() {
        return stage.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Tells whether any target may have executed the request or may still execute it. */
    boolean mayHaveExecuted() {
        return runs.mayHaveExecuted();
    }

    /** Returns the number of times that the request was sent to a target. */
    int sentCount() {
        return runs.sentCount();
    }

    /** Returns the time in milliseconds since the request was sent to its latest target; empty before that. */
    OptionalLong runMillis() {
        return runs.latest() != null && runs.latest().sent()
                ? OptionalLong.of(nowMillis() - runs.latest().run().sentAtMillis())
                : OptionalLong.empty();
    }

    /** Returns the status of the latest response of a target; 0 if there is none. */
    int responseStatus() {
        return responseAssembler == null ? 0 : responseAssembler.status();
    }

    /** Returns the number of requests that the caller's connection has carried, this one included. */
    int carriedRequests() {
        return caller.carriedRequests();
    }

    /** Returns the time in milliseconds from the head of the request to its last byte. */
    long receivingMillis() {
        return arrivedAtMillis - caller.headAtMillis();
    }

    /** Returns the bytes of the response that the caller has not taken. */
    long unreadBytes() {
        return caller.unreadBytes();
    }

    /** Returns the time in milliseconds since a planned stop of this process began; empty if none has begun. */
    OptionalLong stoppingMillis() {
        return front.plannedStop().begun()
                ? OptionalLong.of(front.plannedStop().elapsedMillis())
                : OptionalLong.empty();
    }

    /** Returns the requests per second that a run's target has stated it takes; empty if it takes any number. */
    OptionalDouble statedRate(TargetRun run) {
        return front.statedRates().rateOf(run.target().id());
    }

    /** Returns the version of the target that sent the first event of the stream; empty before that event. */
    Optional<String> streamVersion() {
        return stream.requiredVersion();
    }

    /** Returns how the response of the latest target ended; empty when none ended after its head. */
    Optional<ResponseEnding> responseEnding() {
        return responseEnding;
    }

    String service() {
        return service;
    }

    Route route() {
        return route;
    }

    /** Returns the tokens that the request consumes of its organisation's quota. */
    long quotaTokens() {
        return quotaTokens;
    }

    /** Returns the name of the coordinator that decided the placement; empty when this process decided. */
    String coordinatorName() {
        return ticket == null ? "" : ticket.coordinatorName();
    }

    /** Returns the catalog freshness at the arrival of the request. */
    CatalogFreshness catalogFreshness() {
        return catalogFreshness;
    }

    long nowMillis() {
        return front.nowMillis();
    }

    /** Returns for how long every published target has been known, in milliseconds. */
    long observedMillis() {
        return front.versions().observedMillis();
    }

    /** Returns the time in milliseconds since the request arrived. */
    long ageMillis() {
        return front.nowMillis() - arrivedAtMillis;
    }

    Optional<Organisation> organisation() {
        return organisation;
    }
}
