package org.whinwharf.front;

import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/** One run of a request at a target, from placement to end; updates the target's load, health and measured speed. */
final class TargetRun {
    private final TargetEntry entry;
    private final Candidate candidate;
    private final PlacementTicket ticket;
    /** The target as it was published when the request was sent. */
    private Target target;

    private String peerName = "";
    private long connectedAtMillis;
    private ProcessKnowledge processKnowledge = ProcessKnowledge.UNCONFIRMED;
    private long sentAtMillis;
    private long firstByteAtMillis;
    private boolean firstByteReceived;
    private boolean succeeded;
    private boolean ended;
    /** Whether the coordinator was told that the target is silent, and not yet that it sends again. */
    private boolean reportedSilent;
    /** Whether the target was silent for so long that the run says nothing about its speed. */
    private boolean paused;

    TargetRun(TargetEntry entry, Candidate candidate, PlacementTicket ticket) {
        this.entry = entry;
        this.candidate = candidate;
        this.ticket = ticket;
        target = entry.state().target();
        state().recordDispatch(candidate.uncachedTokens());
    }

    TargetEntry entry() {
        return entry;
    }

    /** Returns the target as it was published when the request was sent; its entry may have changed since. */
    Target target() {
        return target;
    }

    Candidate candidate() {
        return candidate;
    }

    /**
     * Records that the request was sent.
     *
     * @param knowledge what is known of the process at the other end
     */
    void sent(TargetConnection connection, ProcessKnowledge knowledge, long nowMillis) {
        processKnowledge = knowledge;
        peerName = connection.peerName();
        connectedAtMillis = connection.establishedAtMillis();
        target = entry.state().target();
        sentAtMillis = nowMillis;
    }

    /** Returns the monotonic time in milliseconds at which the request was sent. */
    long sentAtMillis() {
        return sentAtMillis;
    }

    /** Returns the monotonic time in milliseconds at which the connection was established over which it was sent. */
    long connectedAtMillis() {
        return connectedAtMillis;
    }

    /** Returns for how long the connection had been established when the request was sent, in milliseconds. */
    long connectedMillis() {
        return sentAtMillis - connectedAtMillis;
    }

    /** Returns what was known of the process at the other end of the connection when the request was sent. */
    ProcessKnowledge processKnowledge() {
        return processKnowledge;
    }

    /** Returns the name of the peer through which the request was sent; empty if it was sent directly. */
    String peerName() {
        return peerName;
    }

    boolean relayed() {
        return !peerName.isEmpty();
    }

    boolean firstByteReceived() {
        return firstByteReceived;
    }

    /** Returns the time from sending the request to the first byte of the response. */
    long firstByteMillis() {
        return firstByteAtMillis - sentAtMillis;
    }

    /** Records the first byte of the response. */
    void firstByte(long nowMillis) {
        firstByteReceived = true;
        firstByteAtMillis = nowMillis;
        state().recordPrefillEnd(candidate.uncachedTokens());
    }

    /**
     * Records the head of a successful response. Must not be called for rejections and errors: they arrive sooner than
     * successful responses, and would make a failing target look like the fastest.
     */
    void succeeded() {
        succeeded = true;
        state().health().recordAnswerStart();
        if (paused) {
            ticket.firstEvent(0);
            return;
        }
        state().speed().recordFirstEvent(candidate.tokensAhead(), candidate.occupancy(), firstByteMillis());
        ticket.firstEvent(firstByteMillis());
    }

    /** Returns for how long the target has been writing a successful response; 0 if it does not. */
    long writingMillis(long nowMillis) {
        return succeeded ? nowMillis - firstByteAtMillis : 0;
    }

    /**
     * Records that the target has sent nothing for too long.
     *
     * @return false when there is no coordinator, so that this process must assess the target itself
     */
    boolean stalled() {
        reportedSilent = ticket.stalled();
        return reportedSilent;
    }

    /** Tells whether targets may have crashed under the request when it was placed. */
    boolean ofSuspect() {
        return ticket.ofSuspect();
    }

    /** Records that the target, which is silent, has not crashed. */
    void targetAlive() {
        ticket.targetAlive();
    }

    /** Records that the target has sent nothing for so long that the run says nothing about its speed. */
    void fellSilent() {
        paused = true;
    }

    /** Records that the target has sent bytes. */
    void resumed() {
        if (reportedSilent) {
            reportedSilent = false;
            ticket.resumed();
        }
    }

    /**
     * Records the end of the run.
     *
     * @param event how the run ended
     * @param answerTokens expected length of the answer in tokens; 0 when its duration does not indicate speed
     * @param events number of events of the answer; 0 if they were not counted
     * @param nowMillis monotonic time of the last byte in milliseconds
     */
    void end(RunEvent event, long answerTokens, int events, long nowMillis) {
        if (ended) {
            return;
        }
        recordEnd();
        long elapsedMillis = answerTokens > 0 && !paused ? nowMillis - firstByteAtMillis : 0;
        if (elapsedMillis > 0) {
            state().speed().recordAnswer(answerTokens, elapsedMillis);
        }
        if (event == RunEvent.RUN_REFUSED) {
            state().recordFullRejection(nowMillis);
        }
        ticket.ended(event, elapsedMillis, relayed() ? 0 : events);
    }

    /** Records that the run failed; {@link #reviewed} reports it to the coordinator. */
    void failed() {
        if (!ended) {
            recordEnd();
            ticket.failed();
        }
    }

    /** Reports the failed run to the coordinator. */
    void reviewed(RunEvent event) {
        ticket.reviewed(event);
    }

    private void recordEnd() {
        ended = true;
        if (!firstByteReceived) {
            state().recordPrefillEnd(candidate.uncachedTokens());
        }
        state().recordEnd();
    }

    private TargetState state() {
        return candidate.state();
    }
}
