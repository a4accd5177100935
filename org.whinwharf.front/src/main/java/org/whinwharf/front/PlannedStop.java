package org.whinwharf.front;

import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;

/**
 * Planned stop of a process: its phases and the time that it may take. Used on the event loop only.
 *
 * <p>Callers may come for {@link #LATE_CALLER_MILLIS}. After {@link #STOP_MARGIN_MILLIS} before the end of the grace
 * period, requests in progress are cut off, their callers have {@link #FLUSH_MILLIS} to take what was written, and the
 * log is written; the rest of the margin is for ticks and for a signal that is handled late.
 */
final class PlannedStop {
    /**
     * Time for which new callers are accepted after a stop is requested, until earlier address lists have expired.
     * Their requests may outlast the stop, which the platform tolerates of those sent within 3 s of the request to
     * stop.
     */
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
    private long cutOffAtMillis;
    private boolean finished;

    PlannedStop(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Begins the stop.
     *
     * @param requestedAtMillis monotonic time in milliseconds at which it was requested
     * @param graceMillis time in milliseconds after which the process is killed; a later change does not alter it
     */
    void begin(long requestedAtMillis, long graceMillis, Work work) {
        begun = true;
        begunAtMillis = requestedAtMillis;
        cutOffAtMillis = begunAtMillis + graceMillis - STOP_MARGIN_MILLIS;
        EventLog.event(LogEvent.LEAVING)
                .with(EventField.GRACE_MILLIS, graceMillis)
                .with(EventField.REQUESTS, work.requests())
                .with(EventField.CONNECTIONS, work.connections())
                .with(EventField.RELAYS, work.relays())
                .call();
    }

    /** Tells whether a stop was requested. */
    boolean begun() {
        return begun;
    }

    /** Returns the time in milliseconds since the stop began. */
    long elapsedMillis() {
        return ticker.nowMillis() - begunAtMillis;
    }

    /** Tells whether callers may still come whose address lists date from before the stop. */
    boolean expectsCallers() {
        return !begun || elapsedMillis() <= LATE_CALLER_MILLIS;
    }

    /**
     * Tells whether work may begin that ends at a given time. Once callers can have gone elsewhere, it may only if the
     * process ends later.
     *
     * @param endsAtMillis monotonic time in milliseconds at which the work ends
     */
    boolean leavesTimeUntil(long endsAtMillis) {
        return expectsCallers() || endsAtMillis <= cutOffAtMillis;
    }

    /** Tells whether the process is to end now: as nothing is in progress, or whatever is. */
    boolean isDue(Work work) {
        return work.none() && !expectsCallers() || ticker.nowMillis() > cutOffAtMillis;
    }

    /** Tells whether the stop has come to its end: nothing was in progress, or what was has been cut off. */
    boolean finished() {
        return finished;
    }

    /** Tells whether the process may exit: nothing is left to be written, or there is no time for it. */
    boolean mayExit(Work work) {
        return work.unreadBytes() == 0 || ticker.nowMillis() > cutOffAtMillis + FLUSH_MILLIS;
    }

    /** Records and logs the end of the stop. */
    void finish(Work work) {
        finished = true;
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
