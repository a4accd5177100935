package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * One run of a caller's request, from its placement to its end: the connection over which it was sent, and the watch
 * over a target that falls silent.
 */
final class ActiveRun implements TargetListener {
    /** Silence after which an idempotent request is sent elsewhere if the path to its target is known to be lost. */
    private static final long LOST_PATH_SILENCE_MILLIS = 300;

    private final Front front;
    private final CallerExchange exchange;
    private final TargetRun run;
    /** Null before the request is sent and after the end of the response. */
    private TargetConnection connection;

    /** Null before the request is sent. */
    private SilenceWatch silence;
    /** What is held against the request while the target is silent; null if nothing is. */
    private LostRun suspicion;

    /** Whether another target was sought for the request, also if none was found. */
    private boolean replaced;
    /** The response so far while another run may still bring the caller's; null if there is none. */
    private HeldResponse held;

    ActiveRun(Front front, CallerExchange exchange, TargetRun run) {
        this.front = front;
        this.exchange = exchange;
        this.run = run;
    }

    TargetRun run() {
        return run;
    }

    TargetEntry entry() {
        return run.entry();
    }

    /** Tells whether the request was sent to the target. */
    boolean sent() {
        return silence != null;
    }

    /** Tells whether the request was sent to the target and its response has not ended. */
    boolean awaitsResponse() {
        return connection != null;
    }

    /** Records that the request is about to be sent over a connection. */
    void sending(TargetConnection acquired, Route route, long nowMillis) {
        connection = acquired;
        run.sent(acquired, front.knowledgeOf(entry(), acquired), nowMillis);
        silence =
                new SilenceWatch(route.latencyObjectiveMillis(), run.candidate().firstEventMillis(), nowMillis);
    }

    void send(HttpRequest request, ByteBuf body, String attemptId) {
        connection.send(request, body, attemptId, this);
    }

    void setReading(boolean on) {
        if (connection != null) {
            connection.setReading(on);
        }
    }

    /** Returns the monotonic time in milliseconds of the last bytes, or of sending the request if there are none. */
    long lastByteAtMillis() {
        return silence.lastByteAtMillis();
    }

    /** Records that the target has fallen silent; returns false if that was recorded before. */
    boolean beginSilence() {
        run.fellSilent();
        return silence.beginSilence();
    }

    /** Records that another target is sought for the request, which goes on here. */
    void setAside() {
        replaced = true;
        suspect();
        if (run.ofSuspect()) {
            front.failureReview().checkAlive(run, run::targetAlive);
        }
    }

    /**
     * Tells whether another target was ever sought for the request, so that what comes from this one ends the others'
     * runs. {@link RequestRuns#isSetAside} tells whether one is being sought, or was sent the request, at present.
     */
    boolean wasSetAside() {
        return replaced;
    }

    /** Keeps the head of the response until it is known whether it becomes the caller's. */
    void hold(HttpResponse response, ResponseHead head) {
        held = new HeldResponse(response, head);
    }

    /** Returns the response so far that is not the caller's yet; null if there is none. */
    HeldResponse held() {
        return held;
    }

    /** Forgets the held response. */
    void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    /** Tells whether the target has sent nothing for a while, to this request and any other of this process. */
    boolean targetQuiet(long nowMillis) {
        return silence.targetQuiet(entry(), nowMillis);
    }

    /** Records that nothing is read from the target, because the caller does not read what came before. */
    void heldUpByCaller(long nowMillis) {
        silence.bytesReceived(nowMillis);
    }

    /** Has the target reviewed if it sends nothing to any request of this process. */
    void reviewSilence(boolean streamStarted, long nowMillis) {
        if (silence.targetNeedsCheck(entry(), streamStarted, nowMillis)) {
            front.failureReview().checkSilentTarget(run);
        }
        if (silence.targetBecameSilent(entry(), streamStarted, nowMillis)) {
            front.failureReview().targetSilent(run);
        }
    }

    /** Tells whether nothing was received for so long that the request is better sent to another target as well. */
    boolean stalled(boolean streamStarted, long nowMillis) {
        boolean onLostPath =
                !run.relayed() && front.pathLost(entry()) && nowMillis - lastByteAtMillis() > LOST_PATH_SILENCE_MILLIS;
        return onLostPath || silence.requestStalled(streamStarted, nowMillis);
    }

    /** Records that the target may have crashed under the request, which is about to be sent to another one. */
    private void suspect() {
        if (suspicion != null) {
            return;
        }
        suspicion = front.lostRuns().runSilent(exchange, run).orElse(null);
    }

    private void recordBytes() {
        long nowMillis = front.nowMillis();
        if (silence.silent()) {
            front.metrics().runResumed();
            FrontLog.runResumed(exchange, run, nowMillis - silence.lastByteAtMillis());
        }
        silence.bytesReceived(nowMillis);
        entry().bytesReceived(nowMillis);
        if (!run.firstByteReceived()) {
            run.firstByte(nowMillis);
            front.metrics().recordFirstByte(exchange.route().kind(), run.firstByteMillis());
        }
    }

    /** Reports that the target lives on; only then may a request that was held for its silence be sent elsewhere. */
    private void reportLifeSign() {
        if (suspicion != null) {
            front.crashes().livedOn(suspicion);
            suspicion = null;
        }
        front.targetResumed(run);
    }

    @Override
    public void head(HttpResponse response, ResponseHead head) {
        recordBytes();
        front.statedRates().answered(run, head);
        exchange.head(this, response, head);
        reportLifeSign();
    }

    @Override
    public void content(ByteBuf chunk) {
        recordBytes();
        exchange.content(this, chunk);
        reportLifeSign();
        if (awaitsResponse()) {
            front.crashes().partsBeingServed(exchange, run);
        }
    }

    @Override
    public void complete() {
        connection = null;
        exchange.complete(this);
    }

    @Override
    public void failed(TargetFailure failure) {
        connection = null;
        exchange.failed(this, failure);
    }

    /** Ends a run whose response is too long to be one. */
    void reject() {
        connection.cancel();
        failed(TargetFailure.GARBLED);
    }

    /** Ends a run whose connection has failed, and has the failure reviewed. */
    void endFailed(TargetFailure failure) {
        releaseHeld();
        front.lostRuns().runFailed(exchange, run, failure);
        front.localQueues().slotFreed(exchange.service());
    }

    /** Records the end of a run whose response has ended, or that was not sent. */
    void end(RunEvent event) {
        run.end(event, 0, 0, front.nowMillis());
        front.localQueues().slotFreed(exchange.service());
    }

    /** Ends a run with its request; the target may be found to have crashed while it was silent. */
    void abandon(long nowMillis) {
        if (awaitsResponse()) {
            front.lostRuns().runAbandoned(exchange, run, nowMillis - lastByteAtMillis());
        }
        cancel();
    }

    /** Ends a run that the request no longer needs, and closes its connection. */
    void cancel() {
        if (awaitsResponse()) {
            connection.cancel();
            connection = null;
        }
        releaseHeld();
        end(RunEvent.RUN_GIVEN_UP);
    }
}
