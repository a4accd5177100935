package org.whinwharf.home;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.whinwharf.routing.RoutingRequest;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.SliceId;

/** Mutable state of one request that has not ended. */
final class Request {
    private static final long NEVER = Long.MIN_VALUE;

    final long sequence;
    final Submission submission;
    final RoutingRequest routing;
    final long arrivedAtMillis;
    final long deadlineAtMillis;
    /** Callers that receive the answer, each with the index of its next token. */
    final Map<Long, Integer> callers = new LinkedHashMap<>();

    final StreamAssembler assembler = new StreamAssembler();
    RequestPhase phase = RequestPhase.WAITING;

    /** Slices excluded until the next retry. */
    final Set<SliceId> excludedSlices = new HashSet<>();
    /** Slices whose owner reported no usable target, until the next retry. */
    final Set<SliceId> slicesWithoutTarget = new HashSet<>();
    /** Owners that refused the request because they are leaving, until the next retry. */
    final Set<String> refusingOwners = new HashSet<>();
    /** Slice at which the request is queued; null when it is not queued. */
    SliceId slice;
    /** Host of the owner at which the request is queued; null when it is not queued. */
    String owner;

    boolean retriedElsewhere;
    long retryAtMillis = Long.MAX_VALUE;
    long queuedAtMillis;
    long reconsiderAtMillis = Long.MAX_VALUE;
    long rejoinGraceEndsAtMillis = Long.MAX_VALUE;

    Grant grant;
    String grantOwner;
    /** Owners that received this request as in flight and count it until they receive its end. */
    final Set<String> ownersCountingInFlight = new HashSet<>();

    SendGate gate;
    RequestLocation location;
    long sentAtMillis = NEVER;
    long firstTokenAtMillis = NEVER;
    int prefillTokens;
    int promptTokens;
    int resumeAttempts;
    /** Consecutive attempts to resume the stream of a silent target. */
    int silentResumeAttempts;

    boolean gapResumed;

    Request(long sequence, Submission submission, long nowMillis) {
        this.sequence = sequence;
        this.submission = submission;
        routing = new RoutingRequest(submission.tierRank(), submission.prefixes());
        arrivedAtMillis = nowMillis;
        deadlineAtMillis = nowMillis + submission.leftMillis();
        promptTokens = submission.promptTokens();
    }

    boolean wasSent() {
        return phase == RequestPhase.SENT || phase == RequestPhase.STREAMING;
    }

    long nextTimerMillis() {
        long placeAtMillis = Math.min(retryAtMillis, reconsiderAtMillis);
        return Math.min(deadlineAtMillis, Math.min(placeAtMillis, rejoinGraceEndsAtMillis));
    }

    void clearExclusions() {
        excludedSlices.clear();
        slicesWithoutTarget.clear();
        refusingOwners.clear();
    }

    void leaveQueue() {
        reconsiderAtMillis = Long.MAX_VALUE;
        slice = null;
        owner = null;
    }

    void dropGrant() {
        sentAtMillis = NEVER;
        grant = null;
        grantOwner = null;
        gate = null;
        location = null;
    }

    RequestTimes times(long nowMillis) {
        boolean sent = sentAtMillis != NEVER;
        long waitedMillis = (sent ? sentAtMillis : nowMillis) - arrivedAtMillis;
        long firstMillis = firstTokenAtMillis != NEVER ? firstTokenAtMillis - sentAtMillis : 0;
        long totalMillis = sent ? nowMillis - sentAtMillis : 0;
        return new RequestTimes(
                waitedMillis, firstMillis, totalMillis, prefillTokens, promptTokens, assembler.nextIndex());
    }
}
