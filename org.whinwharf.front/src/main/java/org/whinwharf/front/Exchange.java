package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.waiting.Patience;
import org.whinwharf.traffic.waiting.Waiter;

/**
 * One request of a caller, from its last byte to the last byte of its answer.
 *
 * <p>Once a byte has left for a target, the request has perhaps run: from then on it is answered with the target's
 * answer or with a failure that promises nothing, never with a refusal that says that it has not run.
 */
final class Exchange implements Waiter, TargetListener {
    /** Silence before a first byte after which a repeatable request goes elsewhere, in objectives. */
    private static final int SILENT_OBJECTIVES = 4;
    /** Shortest such silence; below it a short queue at a sound target would count as silence. */
    private static final long SHORTEST_SILENCE_MILLIS = 600;
    /** Silence within a stream after which it is resumed elsewhere; callers abandon it at two seconds. */
    private static final long STREAM_SILENCE_MILLIS = 1_200;
    /** Time a full target gets nothing after it refused a request. */
    private static final long FULL_PAUSE_MILLIS = 60;
    /** Time left below which sending is pointless: a target needs about this for its shortest answer. */
    private static final long SHORTEST_USEFUL_MILLIS = 15;

    private enum Stage {
        WAITING,
        CONNECTING,
        SENT,
        ENDED
    }

    private final Front front;
    private final CallerConnection caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final long arrivedAtMillis;
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
    private Candidate candidate;
    private TargetEntry entry;
    private TargetLink link;
    private long sentAtMillis;
    private long lastByteAtMillis;
    private boolean firstByteSeen;
    private boolean silenceNoted;
    private long firstByteAtMillis;
    private AnswerAssembly answer;

    Exchange(Front front, CallerConnection caller, HttpRequest request, ByteBuf body) {
        this.front = front;
        this.caller = caller;
        this.request = request;
        this.body = body;
        arrivedAtMillis = front.nowMillis();
    }

    HttpMethod method() {
        return request.method();
    }

    RequestHead head() {
        return head;
    }

    /** Reads the request, has it let in, and sends it or lets it wait. */
    void begin() {
        front.exchangeBegan(this);
        try {
            head = front.dialect().readRequest(request);
        } catch (BadRequestException e) {
            FrontLog.malformed(ErrorKind.MALFORMED, e.getMessage());
            refuse(new Refusal(ErrorKind.MALFORMED, 0));
            return;
        }
        Admission.Result result = front.admission().decide(head, arrivedAtMillis);
        if (result instanceof Admission.Refused refused) {
            organisation = refused.organisation();
            refuse(refused.refusal());
        } else if (result instanceof Admission.Admitted admitted) {
            begin(admitted);
        }
    }

    private void begin(Admission.Admitted admitted) {
        route = admitted.route();
        answer = new AnswerAssembly(route, caller, front.dialect());
        organisation = admitted.organisation();
        service = admitted.service();
        tierRank = admitted.tierRank();
        quotaTokens = admitted.quotaTokens();
        deadlineAtMillis = admitted.deadlineAtMillis();
        patienceUntilMillis = admitted.patienceUntilMillis();
        front.retryBudget(service).request(arrivedAtMillis);
        place(arrivedAtMillis);
    }

    private void place(long nowMillis) {
        stage = Stage.WAITING;
        if (!front.line(service).hasAhead(tierRank) && trySend(nowMillis)) {
            return;
        }
        front.line(service).add(this, nowMillis);
    }

    @Override
    public int tierRank() {
        return tierRank;
    }

    @Override
    public long patienceUntilMillis() {
        return patienceUntilMillis;
    }

    @Override
    public long onTimeUntilMillis() {
        return arrivedAtMillis + Patience.onTimeMillis(route.objectiveMillis());
    }

    @Override
    public boolean trySend(long nowMillis) {
        Demand demand = ImmutableDemand.builder()
                .service(service)
                .model(head.model())
                .promptTokens(head.promptTokens())
                .answerTokens(head.answerTokens())
                .remainingMillis(deadlineAtMillis - nowMillis)
                .parts(head.parts())
                .tierRank(tierRank)
                .tried(tried)
                .build();
        Optional<Candidate> chosen = front.choose(demand, nowMillis);
        if (chosen.isEmpty()) {
            return false;
        }
        connect(chosen.get(), nowMillis);
        return true;
    }

    @Override
    public void refuse(long nowMillis) {
        ErrorKind kind = tried.isEmpty() ? ErrorKind.SHED : ErrorKind.TARGET_REFUSED;
        refuse(new Refusal(perhapsRun() ? ErrorKind.TARGET_LOST : kind, front.comeBackMillis(service)));
    }

    private void connect(Candidate chosen, long nowMillis) {
        stage = Stage.CONNECTING;
        candidate = chosen;
        entry = front.entry(chosen.state().target().id());
        chosen.state().began(chosen.uncachedTokens());
        firstByteSeen = false;
        silenceNoted = false;
        if (chosen.coldAllowance() > 0) {
            chosen.state().coldGate().sent(nowMillis);
        }
        front.prompts().reads(head.parts(), chosen.state().target().id());
        entry.pool().acquire(!route.idempotent(), this::connected);
    }

    private void connected(Optional<TargetLink> acquired) {
        long nowMillis = front.nowMillis();
        if (stage != Stage.CONNECTING) {
            acquired.ifPresent(entry.pool()::giveBack);
            return;
        }
        if (acquired.isEmpty()) {
            leaveTarget();
            front.targetFailed(entry, TargetFailure.UNREACHABLE);
            place(nowMillis);
            return;
        }
        if (deadlineAtMillis - nowMillis < SHORTEST_USEFUL_MILLIS || !front.mayReceive(entry)) {
            entry.pool().giveBack(acquired.get());
            leaveTarget();
            place(nowMillis);
            return;
        }
        link = acquired.get();
        stage = Stage.SENT;
        sends++;
        possibleRuns++;
        tried.add(entry.state().target().id());
        sentAtMillis = nowMillis;
        lastByteAtMillis = nowMillis;
        Optional<String> resumeAfter = answer.streamBegun() ? answer.lastEventId() : head.resumeAfterEvent();
        Dispatch dispatch = new Dispatch(
                entry.state().target().id(),
                organisation.map(Organisation::name),
                deadlineAtMillis - nowMillis,
                resumeAfter);
        front.metrics().waited(route.kind(), nowMillis - arrivedAtMillis);
        FrontLog.sent(this, entry.state().target(), nowMillis - arrivedAtMillis, candidate);
        link.send(front.dialect().targetRequest(request, dispatch), body, head.attemptId(), this);
    }

    @Override
    public void head(HttpResponse response, AnswerHead read) {
        noteBytes();
        answer.head(response, read);
        if (read.status() / 100 == 2) {
            // Refusals and errors come sooner than answers; counted, they would make a failing target look like the
            // fastest.
            candidate
                    .state()
                    .speed()
                    .observed(candidate.uncachedTokens(), candidate.occupancy(), lastByteAtMillis - sentAtMillis);
        }
    }

    @Override
    public void content(ByteBuf piece) {
        noteBytes();
        if (answer.content(piece) && !caller.writable()) {
            link.reading(false);
        }
    }

    void callerWritable(boolean writable) {
        if (link != null && stage == Stage.SENT) {
            link.reading(writable);
        }
    }

    private void noteBytes() {
        long nowMillis = front.nowMillis();
        lastByteAtMillis = nowMillis;
        entry.spoke(nowMillis);
        if (!firstByteSeen) {
            firstByteSeen = true;
            firstByteAtMillis = nowMillis;
            front.metrics().firstByte(route.kind(), nowMillis - sentAtMillis);
            candidate.state().prefilled(candidate.uncachedTokens());
        }
    }

    @Override
    public void complete() {
        link = null;
        long nowMillis = front.nowMillis();
        leaveTarget();
        if (answer.refused()) {
            possibleRuns--;
            if (answer.fromOtherTarget()) {
                front.targetFailed(entry, TargetFailure.UNREACHABLE);
            } else {
                entry.state().fullUntil(nowMillis + FULL_PAUSE_MILLIS);
                front.targetAnsweredError(entry);
            }
            sendElsewhereOrRefuse(nowMillis);
            return;
        }
        if (!answer.proper()) {
            failedAfterSend(TargetFailure.GARBLED, nowMillis);
            return;
        }
        if (answer.status() >= 500) {
            front.targetAnsweredError(entry);
            if (canRepeat(nowMillis)) {
                front.metrics().repeated();
                FrontLog.repeated(this, entry.state().target(), "status " + answer.status());
                answer.reset();
                place(nowMillis);
                return;
            }
        } else {
            front.targetAnswered(entry);
            if (head.answerTokens() > 0 && sends == 1) {
                entry.state().speed().answered(head.answerTokens(), lastByteAtMillis - firstByteAtMillis);
            }
        }
        deliver();
    }

    /** Tells whether any target may have run the request, or may yet. */
    private boolean perhapsRun() {
        return possibleRuns > 0;
    }

    private void deliver() {
        front.metrics().answered();
        FrontLog.ended(this, entry, "answered", answer.status(), front.nowMillis() - arrivedAtMillis);
        AnswerAssembly whole = answer;
        stage = Stage.ENDED;
        whole.deliver();
        end();
    }

    @Override
    public void failed(TargetFailure failure) {
        link = null;
        long nowMillis = front.nowMillis();
        leaveTarget();
        front.targetFailed(entry, failure);
        failedAfterSend(failure, nowMillis);
    }

    private void failedAfterSend(TargetFailure failure, long nowMillis) {
        answer.reset();
        if (canRepeat(nowMillis)) {
            front.metrics().repeated();
            FrontLog.repeated(this, entry.state().target(), failure.name());
            patienceUntilMillis = Math.max(patienceUntilMillis, nowMillis + route.objectiveMillis());
            place(nowMillis);
            return;
        }
        if (answer.streamBegun()) {
            FrontLog.ended(this, entry, "broken-off", answer.status(), front.nowMillis() - arrivedAtMillis);
            end();
            caller.breakOff();
            return;
        }
        refuse(new Refusal(ErrorKind.TARGET_LOST, 0));
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
            end();
            caller.breakOff();
        } else {
            ErrorKind kind = perhapsRun() ? ErrorKind.TARGET_LOST : ErrorKind.TARGET_REFUSED;
            refuse(new Refusal(kind, front.comeBackMillis(service)));
        }
    }

    private void leaveTarget() {
        if (candidate == null) {
            return;
        }
        if (!firstByteSeen) {
            candidate.state().prefilled(candidate.uncachedTokens());
        }
        candidate.state().ended();
        candidate = null;
        front.placeFreed(service);
    }

    /** Looks whether time has run out or the target has fallen silent. */
    void tick(long nowMillis) {
        if (stage == Stage.ENDED || route == null) {
            return;
        }
        if (nowMillis >= deadlineAtMillis) {
            timedOut();
            return;
        }
        if (stage != Stage.SENT) {
            return;
        }
        long silentMillis = nowMillis - Math.max(lastByteAtMillis, entry.lastByteAtMillis());
        long limitMillis = answer.streamBegun()
                ? STREAM_SILENCE_MILLIS
                : Math.max(SHORTEST_SILENCE_MILLIS, SILENT_OBJECTIVES * route.objectiveMillis());
        if (silentMillis > limitMillis && !silenceNoted) {
            // Once for each send: a target that is sound again would be ejected anew as long as this request hangs
            // there.
            silenceNoted = true;
            front.targetFailed(entry, TargetFailure.SILENT);
        }
        boolean stuck = nowMillis - lastByteAtMillis > limitMillis;
        if (stuck && route.idempotent() && sends < route.attempts() && front.hasOther(service, tried)) {
            link.cancel();
            link = null;
            leaveTarget();
            failedAfterSend(TargetFailure.SILENT, nowMillis);
        }
    }

    private void timedOut() {
        if (stage == Stage.WAITING) {
            front.line(service).remove(this);
        }
        if (answer.streamBegun()) {
            FrontLog.ended(this, entry, "timed-out", answer.status(), front.nowMillis() - arrivedAtMillis);
            abandonTarget();
            end();
            caller.breakOff();
            return;
        }
        boolean sent = perhapsRun();
        abandonTarget();
        refuse(
                sent
                        ? new Refusal(ErrorKind.DEADLINE_RUNNING, 0)
                        : new Refusal(ErrorKind.HOPELESS, front.comeBackMillis(service)));
    }

    /** Stops all work, since the caller is gone. */
    void callerLeft() {
        if (stage == Stage.ENDED) {
            return;
        }
        if (stage == Stage.WAITING && route != null) {
            front.line(service).remove(this);
        }
        abandonTarget();
        if (route != null) {
            FrontLog.ended(this, entry, "caller-left", 0, front.nowMillis() - arrivedAtMillis);
        }
        end();
    }

    private void abandonTarget() {
        if (link != null) {
            link.cancel();
            link = null;
        }
        leaveTarget();
    }

    private void refuse(Refusal refusal) {
        if (stage == Stage.ENDED) {
            return;
        }
        if (organisation.isPresent() && !perhapsRun() && quotaTokens > 0) {
            front.quotas().giveBack(organisation.get().name(), quotaTokens);
        }
        front.metrics().failed(refusal.kind());
        FrontLog.refused(this, refusal);
        end();
        if (answer != null && answer.streamBegun()) {
            caller.breakOff();
        } else {
            caller.answer(refusal);
        }
    }

    private void end() {
        stage = Stage.ENDED;
        if (answer != null) {
            answer.reset();
        }
        body.release();
        front.exchangeEnded(this);
    }

    String service() {
        return service;
    }

    Optional<Organisation> organisation() {
        return organisation;
    }
}
