package org.whinwharf.errors;

import java.util.Locale;

/**
 * Closed list of the errors that are reported to callers, each with its answer.
 *
 * <p>A kind states whether the request ran. {@link Ran#NOT_RUN} is used only where the request was marked as never to
 * be sent before the answer was built.
 */
public enum ErrorKind {
    /** The body or a header could not be read. */
    MALFORMED(400, Ran.NOT_RUN, false),
    /** The request has a field that the interface does not define. */
    UNKNOWN_FIELD(400, Ran.NOT_RUN, false),
    /** The value of a field is outside the allowed range. */
    BAD_VALUE(400, Ran.NOT_RUN, false),
    /** The deadline is not a positive number or is too far in the future. */
    BAD_DEADLINE(400, Ran.NOT_RUN, false),
    /** The ticket was not sealed by this system or was altered. */
    BAD_TICKET(400, Ran.NOT_RUN, false),
    /** A request that may not be repeated arrived without a ticket. */
    TICKET_REQUIRED(400, Ran.NOT_RUN, false),
    /** The same ticket and number were used for another request. */
    NUMBER_REUSED(409, Ran.NOT_RUN, false),
    /** The credential is missing or unknown. */
    UNKNOWN_CREDENTIAL(401, Ran.NOT_RUN, false),
    /** There is no service of this name. */
    UNKNOWN_SERVICE(404, Ran.NOT_RUN, false),
    /** The service does not serve this model. */
    UNKNOWN_MODEL(404, Ran.NOT_RUN, false),
    /** The plain service has no such call. */
    UNKNOWN_CALL(404, Ran.NOT_RUN, false),
    /** This process knows no request of this id. */
    UNKNOWN_REQUEST(404, Ran.UNKNOWN, false),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413, Ran.NOT_RUN, false),
    /** The header section of the request is longer than allowed. */
    HEADERS_TOO_LARGE(431, Ran.NOT_RUN, false),
    /** The request did not arrive within the time allowed. */
    CALLER_TOO_SLOW(408, Ran.NOT_RUN, false),
    /** The organisation has used up its quota. */
    OVER_QUOTA(429, Ran.NOT_RUN, true),
    /** The request was shed in favour of requests of higher tiers or earlier requests. */
    SHED(503, Ran.NOT_RUN, true),
    /** The deadline cannot be met; the request was refused before any work was done. */
    HOPELESS(503, Ran.NOT_RUN, true),
    /** No target of the service is usable at present. */
    NO_TARGET(503, Ran.NOT_RUN, true),
    /** This host has no capacity for another request. */
    HOST_FULL(503, Ran.NOT_RUN, true),
    /** This host is leaving or out of service; another address must be used. */
    HOST_LEAVING(503, Ran.NOT_RUN, true),
    /** This process has no document in force yet. */
    NOT_READY(503, Ran.NOT_RUN, true),
    /** Too many retries in proportion to the first attempts received. */
    RETRY_BUDGET(429, Ran.NOT_RUN, true),
    /** The deadline passed while the request was queued. */
    DEADLINE_WAITING(504, Ran.NOT_RUN, true),
    /** The deadline passed while the request ran at the target; the request was cancelled. */
    DEADLINE_RUNNING(504, Ran.RAN, true),
    /** Targets crashed while they ran the request, so it is not sent to further ones for a while. */
    QUARANTINED(503, Ran.NOT_RUN, true),
    /** No target of the software version that began the resumed stream may be used. */
    VERSION_UNAVAILABLE(503, Ran.NOT_RUN, true),
    /** It is not known which software version began the resumed stream. */
    STREAM_UNKNOWN(503, Ran.NOT_RUN, true),
    /** The target refused the request before it admitted it. */
    TARGET_REFUSED(503, Ran.NOT_RUN, true),
    /** The target failed while it ran the request. */
    TARGET_FAILED(502, Ran.RAN, false),
    /** The connection to the target was lost and the stream could not be resumed. */
    TARGET_LOST(502, Ran.UNKNOWN, false),
    /** The target was lost with the request, as others may have been. */
    TARGET_CRASHED(502, Ran.UNKNOWN, true),
    /** The request was cancelled before it was sent. */
    CANCELLED_WAITING(499, Ran.NOT_RUN, false),
    /** The request was cancelled while it ran. */
    CANCELLED_RUNNING(499, Ran.RAN, false),
    /** The caller read too slowly and the answer was abandoned. */
    SLOW_CALLER(499, Ran.RAN, false),
    /** The home of the ticket does not respond. */
    HOME_UNREACHABLE(502, Ran.UNKNOWN, true),
    /** The home of the ticket was restarted and has no record of earlier requests. */
    HOME_RESTARTED(502, Ran.UNKNOWN, false),
    /** The ticket has expired; no record of its requests is kept. */
    TICKET_EXPIRED(410, Ran.UNKNOWN, false),
    /** The request ended and its answer is no longer kept. */
    ANSWER_DROPPED(410, Ran.RAN, false),
    /** Internal error of this system. */
    INTERNAL(500, Ran.UNKNOWN, false);

    private final int httpStatus;
    private final Ran ran;
    private final boolean hasRetryAfter;

    ErrorKind(int httpStatus, Ran ran, boolean comeBack) {
        this.httpStatus = httpStatus;
        this.ran = ran;
        this.hasRetryAfter = comeBack;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether the request ran.
     *
     * @return whether it ran, as far as is known
     */
    public Ran ran() {
        return ran;
    }

    /**
     * Returns whether the answer carries a Retry-After delay.
     *
     * @return true when a later attempt may succeed
     */
    public boolean hasRetryAfter() {
        return hasRetryAfter;
    }

    /**
     * Returns the name that is reported to callers.
     *
     * @return name in lower case with hyphens, such as {@code host-full}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
