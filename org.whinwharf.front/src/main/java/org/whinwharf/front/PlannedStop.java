package org.whinwharf.front;

import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;

/** Planned stop of a process: its phases and the time that it may take. */
final class PlannedStop {
    /** Time for which new callers are accepted after a stop is requested, until earlier address lists have expired. */
    private static final long LATE_CALLER_MILLIS = 2_500;
    /** Time before the end of the grace period at which requests that are in progress are cut off. */
    private static final long STOP_MARGIN_MILLIS = 600;
    /** Time for which callers are then left to take the ends of their responses. */
    private static final long FLUSH_MILLIS = 200;

    /**
     * Work of a process.
     *
     * @param requests number of requests in progress
     * @param incompleteRequests number of requests that were not received whole
     * @param connections number of connections of callers
     * @param relays number of connections to targets that are relayed for peers
     * @param unreadBytes bytes of responses that callers have not taken
     */
    record Work(int requests, int incompleteRequests, int connections, int relays, long unreadBytes) {
        boolean none() {
            return requests == 0 && connections == 0 && relays == 0;
        }
    }

    private final Ticker ticker;
    private boolean begun;
    private long begunAtMillis;
    private long endsAtMillis;
    private boolean ended;

    PlannedStop(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Begins the stop.
     *
     * @param graceMillis time in milliseconds after which the process is killed; a later change does not alter it
     */
    void begin(long graceMillis, Work work) {
        begun = true;
        begunAtMillis = ticker.nowMillis();
        endsAtMillis = begunAtMillis + graceMillis - STOP_MARGIN_MILLIS;
        EventLog.event(LogEvent.LEAVING)
                .with(EventField.GRACE_MILLIS, graceMillis)
                .with(EventField.REQUESTS, work.requests())
                .with(EventField.CONNECTIONS, work.connections())
                .with(EventField.RELAYS, work.relays())
                .call();
    }

    boolean begun() {
        return begun;
    }

    /** Returns the time in milliseconds since the stop began. */
    long elapsedMillis() {
        return ticker.nowMillis() - begunAtMillis;
    }

    /** Tells whether callers may still come whose address lists date from before the stop. */
    boolean expectsCallers() {
        return elapsedMillis() <= LATE_CALLER_MILLIS;
    }

    /**
     * Tells whether work may begin that ends at a given time. Once callers can have gone elsewhere, it may only if the
     * process ends later.
     *
     * @param workEndsAtMillis monotonic time in milliseconds at which the work ends
     */
    boolean leavesTimeUntil(long workEndsAtMillis) {
        return !begun || expectsCallers() || workEndsAtMillis <= endsAtMillis;
    }

    /** Tells whether the stop ends now: as nothing is in progress, or whatever is. */
    boolean ends(Work work) {
        return work.none() && !expectsCallers() || ticker.nowMillis() > endsAtMillis;
    }

    /** Tells whether requests have been cut off. */
    boolean ended() {
        return ended;
    }

    /** Tells whether the process may exit: nothing is left to be written, or there is no time for it. */
    boolean mayExit(Work work) {
        return work.unreadBytes() == 0 || ticker.nowMillis() > endsAtMillis + FLUSH_MILLIS;
    }

    /** Records and logs the end of the stop. */
    void end(Work work) {
        ended = true;
        if (work.none()) {
            EventLog.event(LogEvent.DRAINED)
                    .with(EventField.STOPPING_MILLIS, elapsedMillis())
                    .call();
            return;
        }
        EventLog.event(LogEvent.DRAIN_TIMEOUT)
                .with(EventField.STOPPING_MILLIS, elapsedMillis())
                .with(EventField.REQUESTS, work.requests())
                .with(EventField.INCOMPLETE_REQUESTS, work.incompleteRequests())
                .with(EventField.CONNECTIONS, work.connections())
                .with(EventField.RELAYS, work.relays())
                .with(EventField.UNREAD_BYTES, work.unreadBytes())
                .call();
    }
}
