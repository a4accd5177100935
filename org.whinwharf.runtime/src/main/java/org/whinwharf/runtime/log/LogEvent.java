package org.whinwharf.runtime.log;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.logging.log4j.Level;
import org.whinwharf.runtime.RuntimeText;

/**
 * The events that processes log, each with the fields it may carry.
 *
 * <p>The name of a constant determines the name in the log lines, which operators' queries match.
 */
public enum LogEvent {
    /** A daemon has started. */
    STARTED(Level.INFO, EventField.HOST, EventField.ROLE, EventField.VERSION, EventField.INCARNATION),
    /** A daemon is ready. */
    READY(Level.INFO, EventField.GENERATION, EventField.REVISION),
    /** A daemon is not ready, or is no longer ready. */
    NOT_READY(Level.WARN, EventField.REASONS),
    /** A planned stop has begun. */
    LEAVING(Level.INFO, EventField.GRACE_MILLIS, EventField.REQUESTS, EventField.CONNECTIONS, EventField.RELAYS),
    /** No request is in flight any longer, during a planned stop. */
    DRAINED(Level.INFO, EventField.STOPPING_MILLIS),
    /** The drain timeout has expired while requests are still in flight. */
    DRAIN_TIMEOUT(
            Level.WARN,
            EventField.STOPPING_MILLIS,
            EventField.REQUESTS,
            EventField.QUEUED,
            EventField.ANSWERS,
            EventField.SLICES,
            EventField.INCOMPLETE_REQUESTS,
            EventField.CONNECTIONS,
            EventField.RELAYS,
            EventField.UNREAD_BYTES),
    /** A request is cut off, since a planned stop ends before it does. */
    REQUEST_CUT_BY_STOP(
            Level.WARN,
            EventField.REQUEST,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.STAGE,
            EventField.STATUS,
            EventField.TOTAL_MILLIS,
            EventField.STOPPING_MILLIS,
            EventField.RUNS,
            EventField.RUN_MILLIS,
            EventField.CARRIED,
            EventField.RECEIVING_MILLIS,
            EventField.UNREAD_BYTES),
    /** A daemon has stopped. */
    STOPPED(Level.INFO, EventField.EXIT_CODE),
    /** Another document has come into force. */
    DOCUMENT_IN_FORCE(Level.INFO, EventField.GENERATION, EventField.DIGEST, EventField.SOURCE),
    /** A published document was refused. */
    DOCUMENT_REFUSED(Level.ERROR, EventField.GENERATION, EventField.SOURCE, EventField.REASONS),
    /** A peer holds another document of the same generation. */
    DOCUMENT_CONFLICT(Level.ERROR, EventField.GENERATION, EventField.PEER, EventField.DIGEST),
    /** The configuration service cannot be read. */
    DOCUMENT_UNREACHABLE(Level.WARN, EventField.REASON),
    /** The configuration service can be read again. */
    DOCUMENT_REACHABLE(Level.INFO),
    /** Another host list has come into force. */
    LIST_IN_FORCE(Level.INFO, EventField.REVISION, EventField.HOSTS),
    /** A published host list was refused. */
    LIST_REFUSED(Level.ERROR, EventField.REASON),
    /** The host list cannot be read. */
    LIST_UNREACHABLE(Level.WARN, EventField.REASON),
    /** The host list can be read again. */
    LIST_REACHABLE(Level.INFO),
    /** A link with a peer is up. */
    LINK_UP(Level.DEBUG, EventField.PEER),
    /** A link with a peer is down. */
    LINK_DOWN(Level.INFO, EventField.PEER, EventField.REASON),
    /** A request was admitted. */
    REQUEST_ADMITTED(
            Level.INFO,
            EventField.REQUEST,
            EventField.ORGANISATION,
            EventField.TIER_RANK,
            EventField.SERVICE,
            EventField.MODEL,
            EventField.CALL,
            EventField.PROMPT_TOKENS,
            EventField.TRACE_ID),
    /** A request was sent to a target. */
    REQUEST_SENT(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.PEER,
            EventField.GRANT,
            EventField.TIER_RANK,
            EventField.ANSWER_TOKENS,
            EventField.WAITED_MILLIS,
            EventField.OCCUPANCY,
            EventField.PREFILL_TOKENS,
            EventField.PREDICTED_MILLIS,
            EventField.VERSION,
            EventField.AGE_MILLIS,
            EventField.TARGET_VERSION,
            EventField.LAST_EVENT,
            EventField.RESUMES,
            EventField.STATED_RATE,
            EventField.PROCESS,
            EventField.CONNECTED_MILLIS,
            EventField.STOPPING_MILLIS),
    /** A request ended. */
    REQUEST_ENDED(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.KIND,
            EventField.RAN,
            EventField.REASON,
            EventField.PREFILL_TOKENS,
            EventField.ANSWER_TOKENS,
            EventField.FIRST_BYTE_MILLIS,
            EventField.TOTAL_MILLIS,
            EventField.STATUS,
            EventField.FRAMING,
            EventField.ENDING,
            EventField.INSIDE_EVENT,
            EventField.RETRY_AFTER_MILLIS,
            EventField.STREAM_VERSION),
    /** An answer ended without its last event, or the caller disconnected before its answer. */
    ANSWER_CUT(Level.INFO, EventField.REQUEST, EventField.REASON, EventField.ANSWER_TOKENS, EventField.UNREAD_BYTES),
    /** A request was refused before it was admitted. */
    REQUEST_REFUSED(
            Level.INFO,
            EventField.REQUEST,
            EventField.FINGERPRINT,
            EventField.SHARED_PARTS,
            EventField.ORGANISATION,
            EventField.TIER_RANK,
            EventField.SERVICE,
            EventField.KIND,
            EventField.RAN,
            EventField.REASON,
            EventField.FRAMING,
            EventField.ENDING,
            EventField.INSIDE_EVENT,
            EventField.WAITED_MILLIS,
            EventField.RETRY_AFTER_MILLIS,
            EventField.PEER,
            EventField.QUEUED_AHEAD,
            EventField.PREDICTED_MILLIS,
            EventField.BACKLOG_AGE_MILLIS,
            EventField.QUOTA_TOKENS,
            EventField.QUOTA_LEVEL,
            EventField.REACHED_TARGETS,
            EventField.KNOWN_TARGETS,
            EventField.VERSION,
            EventField.AGE_MILLIS,
            EventField.STOPPING_MILLIS),
    /** A request was relayed to its home. */
    REQUEST_RELAYED(Level.INFO, EventField.REQUEST, EventField.PEER),
    /** A grant arrived too late and was returned unused. */
    GRANT_EXPIRED(Level.WARN, EventField.REQUEST, EventField.GRANT, EventField.TARGET, EventField.AGE_MILLIS),
    /** A scheduler shed a request. */
    SHED(
            Level.INFO,
            EventField.REQUEST,
            EventField.PEER,
            EventField.SLICE,
            EventField.TIER_RANK,
            EventField.REASON,
            EventField.RETRY_AFTER_MILLIS),
    /** A scheduler now owns a slice, or another share of it. */
    SLICE_OWNED(Level.INFO, EventField.SLICE, EventField.SHARE),
    /** A scheduler no longer owns a slice. */
    SLICE_LOST(Level.INFO, EventField.SLICE, EventField.REASON),
    /** A floor was raised. */
    FLOOR_RAISED(Level.INFO, EventField.SERVICE, EventField.FLOOR_RANK, EventField.PEER),
    /** A floor was lowered. */
    FLOOR_LOWERED(Level.INFO, EventField.SERVICE, EventField.PEER),
    /** The state of a target changed. */
    TARGET_STATE(Level.INFO, EventField.TARGET, EventField.FROM, EventField.TO, EventField.LIMIT, EventField.REASON),
    /** An order was sent to an engine. */
    ORDER_SENT(Level.INFO, EventField.TARGET, EventField.FENCING_NUMBER, EventField.ORDER),
    /** An engine accepted an order. */
    ORDER_DONE(Level.INFO, EventField.TARGET, EventField.FENCING_NUMBER, EventField.ORDER, EventField.STATUS),
    /** An engine did not accept an order. */
    ORDER_FAILED(
            Level.WARN,
            EventField.TARGET,
            EventField.FENCING_NUMBER,
            EventField.ORDER,
            EventField.STATUS,
            EventField.REASON),
    /** An order was decided but not sent. */
    ORDER_WITHHELD(Level.WARN, EventField.TARGET, EventField.FENCING_NUMBER, EventField.REASON, EventField.AGE_MILLIS),
    /** Another version of the catalog has come into force. */
    CATALOG_IN_FORCE(Level.INFO, EventField.VERSION, EventField.REVISION, EventField.SOURCE),
    /** A published item was invalid and was ignored. */
    ITEM_REFUSED(Level.WARN, EventField.NAME, EventField.REVISION, EventField.REASON),
    /** The time from which on every published target is known has changed; its age is the time before now. */
    TARGETS_OBSERVED(Level.INFO, EventField.REASON, EventField.REVISION, EventField.AGE_MILLIS),
    /** The history of published items cannot be read; streams that nobody remembers are refused for a while. */
    HISTORY_UNREADABLE(Level.WARN, EventField.REASON),
    /** The source from which published items are read changed. */
    ITEMS_SOURCE(Level.INFO, EventField.FROM, EventField.TO, EventField.REVISION, EventField.REASON),
    /** The publishing service is at an older revision than the items, so its changes are not seen. */
    ITEMS_AHEAD(Level.ERROR, EventField.REVISION, EventField.REASON),
    /** A request to a peer for its items failed or did not complete. */
    ITEMS_QUESTION_FAILED(
            Level.WARN,
            EventField.PEER,
            EventField.REVISION,
            EventField.REASON,
            EventField.RECEIVED_BYTES,
            EventField.TOTAL_MILLIS),
    /** The set of evacuated data centres changed. */
    DATA_CENTRES_OUT(Level.INFO, EventField.REASONS, EventField.REVISION),
    /** A target was published, changed or removed. */
    TARGET_PUBLISHED(
            Level.INFO,
            EventField.TARGET,
            EventField.SERVICE,
            EventField.DATA_CENTRE,
            EventField.TARGET_VERSION,
            EventField.STATUS),
    /** A target was ejected, because of the outcome of its requests. */
    TARGET_EJECTED(
            Level.WARN,
            EventField.TARGET,
            EventField.SERVICE,
            EventField.REASON,
            EventField.PEER,
            EventField.AGE_MILLIS,
            EventField.REACHED_TARGETS,
            EventField.KNOWN_TARGETS),
    /** No connection to a target could be established. */
    TARGET_UNREACHABLE(
            Level.INFO,
            EventField.TARGET,
            EventField.SERVICE,
            EventField.TOTAL_MILLIS,
            EventField.REACHED_TARGETS,
            EventField.KNOWN_TARGETS),
    /** An ejected target is in use again after a successful health check. */
    TARGET_RETURNED(Level.INFO, EventField.TARGET, EventField.SERVICE, EventField.LIMIT),
    /** A target that a peer reaches cannot be reached by this process. */
    TARGET_PATH_LOST(
            Level.WARN, EventField.TARGET, EventField.PEER, EventField.REACHED_TARGETS, EventField.KNOWN_TARGETS),
    /** This process reaches a target again. */
    TARGET_PATH_RESTORED(Level.INFO, EventField.TARGET),
    /** This process reaches no target any longer. */
    PARTITIONED(Level.WARN, EventField.REACHED_TARGETS, EventField.KNOWN_TARGETS),
    /** This process reaches a target again after it had reached none. */
    PARTITION_ENDED(Level.INFO),
    /** The targets of a service crash when they reject more requests per second than the limit, or no longer do. */
    REJECTION_LIMIT(Level.WARN, EventField.SERVICE, EventField.LIMIT),
    /** A failed request is not held against its target, because only the path to it may have failed. */
    FAILURE_DISMISSED(Level.INFO, EventField.TARGET, EventField.REASON, EventField.PEER),
    /** A peer asked for a connection to a target. */
    RELAY_ANSWERED(Level.INFO, EventField.PEER, EventField.TARGET, EventField.STATUS, EventField.TOTAL_MILLIS),
    /** The end of this process cuts a connection that it relays for a peer. */
    RELAY_CUT(
            Level.WARN,
            EventField.PEER,
            EventField.TARGET,
            EventField.AGE_MILLIS,
            EventField.RECEIVED_BYTES,
            EventField.OTHER_CONNECTIONS),
    /** A peer was heard from for the first time, or with a new incarnation. */
    MEMBER_HEARD(Level.INFO, EventField.PEER, EventField.INCARNATION, EventField.STATUS),
    /** The coordinator that this process uses for a service changed. */
    COORDINATOR_CHANGED(Level.INFO, EventField.SERVICE, EventField.FROM, EventField.TO),
    /** The average time for which requests of a rank hold a slot became known or changed by half. */
    WORK_CHANGED(Level.INFO, EventField.SERVICE, EventField.TIER_RANK, EventField.FROM, EventField.TO),
    /** A request was refused because its organisation has used its share; logged once a second for each service. */
    ORGANISATION_LIMITED(
            Level.INFO,
            EventField.SERVICE,
            EventField.TIER_RANK,
            EventField.ORGANISATION,
            EventField.USE_SLOTS,
            EventField.SHARE_SLOTS,
            EventField.AHEAD_OF_CLOCK_MILLIS,
            EventField.QUEUED),
    /**
     * The number of requests that a target takes at once before it slows down was learned, or has changed; trials are
     * not logged.
     */
    TARGET_LIMIT_CHANGED(
            Level.INFO,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.FROM,
            EventField.TO,
            EventField.PACE_MILLIS,
            EventField.OCCUPANCY,
            EventField.SAMPLES),
    /**
     * A target states that it takes another rate of requests than before, or any, by its own answer or as a peer has
     * reported.
     */
    TARGET_RATE_CHANGED(
            Level.WARN,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.FROM,
            EventField.TO,
            EventField.PEER,
            EventField.AGE_MILLIS),
    /** A coordinator did not respond in time and is skipped for a while. */
    COORDINATOR_SILENT(Level.WARN, EventField.PEER, EventField.SERVICE, EventField.AGE_MILLIS),
    /** A peer was evicted after a long silence. */
    MEMBER_FORGOTTEN(Level.INFO, EventField.PEER),
    /** A request is retried, because its target returned no complete answer. */
    REQUEST_REPEATED(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.REASON,
            EventField.RETRY_ALLOWANCE,
            EventField.RETRIES,
            EventField.REQUESTS,
            EventField.PEERS,
            EventField.FRAMING,
            EventField.ENDING,
            EventField.INSIDE_EVENT,
            EventField.STREAM_VERSION),
    /** It is known at which software version a stream began that a caller resumes, by whom, and how old that is. */
    STREAM_ORIGIN(
            Level.INFO,
            true,
            EventField.REQUEST,
            EventField.RESUMES,
            EventField.SERVICE,
            EventField.STREAM_VERSION,
            EventField.SOURCE,
            EventField.PEER,
            EventField.AGE_MILLIS),
    /** A stream that has begun was sent to a target that is to go on with it, within a response or when resumed. */
    STREAM_CONTINUED(
            Level.INFO,
            true,
            EventField.REQUEST,
            EventField.RESUMES,
            EventField.SERVICE,
            EventField.FROM,
            EventField.TARGET,
            EventField.PEER,
            EventField.TARGET_VERSION,
            EventField.STREAM_VERSION,
            EventField.SOURCE,
            EventField.LAST_EVENT,
            EventField.PROCESS,
            EventField.CONNECTED_MILLIS),
    /** A stream has begun at a process that is not known to be the one that the target's entry names. */
    STREAM_ORIGIN_OPEN(
            Level.INFO,
            true,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.SERVICE,
            EventField.TARGET_VERSION,
            EventField.PROCESS,
            EventField.CONNECTED_MILLIS),
    /** A stream is not continued at a target, whose process is not known to be the one that its entry names. */
    STREAM_TARGET_SKIPPED(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.SERVICE,
            EventField.STREAM_VERSION,
            EventField.PROCESS,
            EventField.CONNECTED_MILLIS),
    /** A target was asked for the process that serves its address. */
    PROCESS_REPORTED(Level.INFO, EventField.TARGET, EventField.SERVICE, EventField.REASON, EventField.AGE_MILLIS),
    /** A stream is not resumed. */
    STREAM_NOT_RESUMED(
            Level.INFO,
            EventField.REQUEST,
            EventField.RESUMES,
            EventField.SERVICE,
            EventField.STREAM_VERSION,
            EventField.REASON,
            EventField.PEERS),
    /** A run ended with its connection, or in silence; tells whether its target can still be reached. */
    RUN_LOST(
            Level.INFO,
            EventField.REQUEST,
            EventField.FINGERPRINT,
            EventField.SHARED_PARTS,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.PEER,
            EventField.REASON,
            EventField.VERDICT),
    /** A response that declared no end has ended with its connection; tells whether its target lived on. */
    RESPONSE_END_CHECKED(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.VERDICT,
            EventField.OTHER_CONNECTIONS,
            EventField.AGE_MILLIS),
    /**
     * It was decided what becomes of the end of a stream that declared none; with the time since its target last broke
     * off a response, and the retry budget.
     */
    STREAM_END_JUDGED(
            Level.INFO,
            EventField.REQUEST,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.DECISION,
            EventField.REASON,
            EventField.AGE_MILLIS,
            EventField.RETRY_ALLOWANCE,
            EventField.RETRIES,
            EventField.REQUESTS),
    /** Another target was asked whether any event follows the end of a target's stream; tells what that showed. */
    STREAM_END_VERIFIED(
            Level.INFO,
            EventField.REQUEST,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.VERDICT,
            EventField.AGE_MILLIS),
    /** A target has sent a response that is not known to answer the request of its connection. */
    RESPONSE_UNMATCHED(
            Level.INFO,
            EventField.REQUEST,
            EventField.TARGET,
            EventField.KIND,
            EventField.STATUS,
            EventField.NAMED_ATTEMPT,
            EventField.CARRIED),
    /** A target has sent nothing of its answer to a request for too long. */
    RUN_SILENT(
            Level.INFO,
            EventField.REQUEST,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.PEER,
            EventField.SILENT_MILLIS,
            EventField.DECISION,
            EventField.SILENT_TARGETS,
            EventField.REACHED_TARGETS,
            EventField.KNOWN_TARGETS),
    /** A target that was silent for too long has sent more of its answer to a request. */
    RUN_RESUMED(
            Level.INFO,
            EventField.REQUEST,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.PEER,
            EventField.SILENT_MILLIS),
    /** A target has served a request with a part of prompts that was suspected of crashing targets. */
    PART_CLEARED(Level.INFO, EventField.FINGERPRINT, EventField.VERDICT, EventField.CRASHES),
    /** More is known of a run that may have crashed its target, and of the request that ran. */
    CRASH_SUSPECTED(
            Level.INFO,
            EventField.FINGERPRINT,
            EventField.TARGET,
            EventField.SOURCE,
            EventField.STATUS,
            EventField.AGE_MILLIS,
            EventField.VERDICT,
            EventField.SUBJECT,
            EventField.CRASHES),
    /** Changed settings have come into force. */
    SETTINGS_IN_FORCE(Level.INFO),
    /** Changed settings are invalid; the previous settings stay in force. */
    SETTINGS_REFUSED(Level.ERROR, EventField.REASON),
    /** A task of the process failed; the process continues. */
    DUTY_FAILED(Level.ERROR, EventField.NAME, EventField.REASON),
    /** A caller sent a malformed request. */
    REQUEST_MALFORMED(Level.INFO, EventField.KIND, EventField.REASON),
    /** A span ended. */
    SPAN(
            Level.INFO,
            EventField.TRACE_ID,
            EventField.SPAN_ID,
            EventField.PARENT_SPAN_ID,
            EventField.NAME,
            EventField.START_UNIX_NANOS,
            EventField.DURATION_MICROS,
            EventField.ATTRIBUTES);

    private final Level level;
    private final boolean prompt;
    private final Set<EventField> fields = EnumSet.noneOf(EventField.class);
    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    LogEvent(Level level, EventField... fields) {
        this(level, false, fields);
    }

    LogEvent(Level level, boolean prompt, EventField... fields) {
        this.level = level;
        this.prompt = prompt;
        this.fields.addAll(List.of(fields));
    }

    /**
     * Returns the name of the event in log lines.
     *
     * @return name in lower case with hyphens, such as {@code grant-expired}
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Tells whether the event may carry a field.
     *
     * @param field the field
     * @return true if it may
     */
    public boolean has(EventField field) {
        return fields.contains(field);
    }

    /**
     * Returns the level at which the event is logged.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Tells whether lines of the event are to be written soon, and before others if some are dropped.
     *
     * @return true if so
     */
    public boolean prompt() {
        return prompt;
    }

    /**
     * Returns a description of the event for readers of the log.
     *
     * @return short text
     */
    public String text() {
        return RuntimeText.get("event." + wireName);
    }
}
