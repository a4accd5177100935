package org.whinwharf.front;

import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/** One request at one target, from its placement to its end; keeps the target's counts and what it teaches of speed. */
final class TargetRun {
    private final TargetEntry entry;
    private final Candidate candidate;
    private final PlacementTicket ticket;
    private long sentAtMillis;
    private long firstByteAtMillis;
    private boolean firstByteReceived;
    private boolean ended;

    TargetRun(TargetEntry entry, Candidate candidate, PlacementTicket ticket) {
        this.entry = entry;
        this.candidate = candidate;
        this.ticket = ticket;
        state().recordDispatch(candidate.uncachedTokens());
    }

    TargetEntry entry() {
        return entry;
    }

    Candidate candidate() {
        return candidate;
    }

    void sent(long nowMillis) {
        sentAtMillis = nowMillis;
    }

    boolean firstByteReceived() {
        return firstByteReceived;
    }

    /** Returns the time from sending to the first byte. */
    long firstByteMillis() {
        return firstByteAtMillis - sentAtMillis;
    }

    /** Notes the first byte of an answer. */
    void firstByte(long nowMillis) {
        firstByteReceived = true;
        firstByteAtMillis = nowMillis;
        state().recordPrefillEnd(candidate.uncachedTokens());
    }

    /**
     * Notes the head of a successful answer. Refusals and errors come sooner than answers; counted, they would make a
     * failing target look like the fastest.
     */
    void succeeded() {
        state().health().recordAnswerStart();
        state().speed().recordFirstEvent(candidate.tokensAhead(), candidate.occupancy(), firstByteMillis());
        ticket.firstEvent(firstByteMillis());
    }

    /**
     * Notes that nothing has come for long.
     *
     * @return false when this process has to judge the target itself
     */
    boolean stalled() {
        return ticket.stalled();
    }

    /**
     * Notes the end of the request at this target.
     *
     * @param event how it ended
     * @param answerTokens bound on the answer's length; 0 when its duration says nothing about speed
     * @param nowMillis steady time of the last byte
     */
    void end(RunEvent event, long answerTokens, long nowMillis) {
        if (ended) {
            return;
        }
        ended = true;
        if (!firstByteReceived) {
            state().recordPrefillEnd(candidate.uncachedTokens());
        }
        state().recordEnd();
        long tookMillis = answerTokens > 0 ? nowMillis - firstByteAtMillis : 0;
        if (tookMillis > 0) {
            state().speed().recordAnswer(answerTokens, tookMillis);
        }
        if (event == RunEvent.RUN_REFUSED) {
            state().recordFullRejection(nowMillis);
        }
        ticket.ended(event, tookMillis);
    }

    private TargetState state() {
        return candidate.state();
    }
}
