package org.whinwharf.errors;

import java.util.Locale;

/**
 * Closed list of the errors that a caller can be told, each with the answer it gets.
 *
 * <p>A kind says whether the request ran. {@link Ran#NOT_RUN} is used only where the request was marked as never to be
 * sent before the answer was made.
 */
public enum ErrorKind {
    /** The body or a header could not be read. */
    MALFORMED(400, Ran.NOT_RUN, false),
    /** A field that the interface does not know. */
    UNKNOWN_FIELD(400, Ran.NOT_RUN, false),
    /** A field whose value is outside what is allowed. */
    BAD_VALUE(400, Ran.NOT_RUN, false),
    /** A deadline that is no positive number or is too far away. */
    BAD_DEADLINE(400, Ran.NOT_RUN, false),
    /** A ticket that this system did not seal or that was altered. */
    BAD_TICKET(400, Ran.NOT_RUN, false),
    /** A request that may not be repeated came without a ticket. */
    TICKET_REQUIRED(400, Ran.NOT_RUN, false),
    /** The same ticket and number came with another request. */
    NUMBER_REUSED(409, Ran.NOT_RUN, false),
    /** The credential is missing or unknown. */
    UNKNOWN_CREDENTIAL(401, Ran.NOT_RUN, false),
    /** No service of this name. */
    UNKNOWN_SERVICE(404, Ran.NOT_RUN, false),
    /** The service does not serve this model. */
    UNKNOWN_MODEL(404, Ran.NOT_RUN, false),
    /** The plain service has no such call. */
    UNKNOWN_CALL(404, Ran.NOT_RUN, false),
    /** No request of this id is known here. */
    UNKNOWN_REQUEST(404, Ran.UNKNOWN, false),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413, Ran.NOT_RUN, false),
    /** The head of the request is longer than allowed. */
    HEADERS_TOO_LARGE(431, Ran.NOT_RUN, false),
    /** The request did not arrive in the time allowed. */
    CALLER_TOO_SLOW(408, Ran.NOT_RUN, false),
    /** The organisation has used up its quota. */
    OVER_QUOTA(429, Ran.NOT_RUN, true),
    /** Shed to keep requests of higher tiers or earlier ones. */
    SHED(503, Ran.NOT_RUN, true),
    /** The deadline cannot be met; refused before any work was done. */
    HOPELESS(503, Ran.NOT_RUN, true),
    /** No target of the service may be used now. */
    NO_TARGET(503, Ran.NOT_RUN, true),
    /** This host has no room for another request. */
    HOST_FULL(503, Ran.NOT_RUN, true),
    /** This host is leaving or out of service; another address must be used. */
    HOST_LEAVING(503, Ran.NOT_RUN, true),
    /** This process has no document in force yet. */
    NOT_READY(503, Ran.NOT_RUN, true),
    /** Too many retries for the fresh requests that came. */
    RETRY_BUDGET(429, Ran.NOT_RUN, true),
    /** The deadline passed while the request waited. */
    DEADLINE_WAITING(504, Ran.NOT_RUN, true),
    /** The deadline passed while the target worked; the work was cancelled. */
    DEADLINE_RUNNING(504, Ran.RAN, true),
    /** The target refused the request before it admitted it. */
    TARGET_REFUSED(503, Ran.NOT_RUN, true),
    /** The target failed while it worked on the request. */
    TARGET_FAILED(502, Ran.RAN, false),
    /** The target's connection broke and the stream could not be resumed. */
    TARGET_LOST(502, Ran.UNKNOWN, false),
    /** The request was cancelled before it was sent. */
    CANCELLED_WAITING(499, Ran.NOT_RUN, false),
    /** The request was cancelled while it ran. */
    CANCELLED_RUNNING(499, Ran.RAN, false),
    /** The caller read too slowly and the answer was given up. */
    SLOW_CALLER(499, Ran.RAN, false),
    /** The home of the ticket does not answer. */
    HOME_UNREACHABLE(502, Ran.UNKNOWN, true),
    /** The home of the ticket was restarted and knows nothing of earlier requests. */
    HOME_RESTARTED(502, Ran.UNKNOWN, false),
    /** The ticket has run out; nothing is kept of its requests. */
    TICKET_EXPIRED(410, Ran.UNKNOWN, false),
    /** The request ended and its answer is no longer kept. */
    ANSWER_DROPPED(410, Ran.RAN, false),
    /** A fault of this system's own. */
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
     * @return what is known of it
     */
    public Ran ran() {
        return ran;
    }

    /**
     * Returns whether the answer says when to come back.
     *
     * @return true when a later attempt may succeed
     */
    public boolean hasRetryAfter() {
        return hasRetryAfter;
    }

    /**
     * Returns the name that callers see.
     *
     * @return name in lower case with hyphens, such as {@code host-full}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
