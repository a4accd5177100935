package org.whinwharf.runtime.log;

/**
 * The fields that log events may carry. None of them holds a secret, a prompt or an answer.
 *
 * <p>The names in the log lines are explicit, because operators' queries match them; they stay when a constant is
 * renamed.
 */
public enum EventField {
    /** Name of a host. */
    HOST("host"),
    /** Role of a process. */
    ROLE("role"),
    /** Version of the program. */
    VERSION("version"),
    /** Data centre. */
    DATA_CENTRE("dataCentre"),
    /** Incarnation in hexadecimal. */
    INCARNATION("incarnation"),
    /** Reason, as free text or as a tag. */
    REASON("reason"),
    /** List of reasons. */
    REASONS("reasons"),
    /** Exit code. */
    EXIT_CODE("exitCode"),
    /** Document generation. */
    GENERATION("generation"),
    /** Document digest in hexadecimal. */
    DIGEST("digest"),
    /** Source of a document or catalog. */
    SOURCE("source"),
    /** Revision of the host list or of the published items. */
    REVISION("revision"),
    /** Number of hosts. */
    HOSTS("hosts"),
    /** Host and role, or address, of another process. */
    PEER("peer"),
    /** Id of a request. */
    REQUEST("request"),
    /** Name of the organisation. */
    ORGANISATION("organisation"),
    /** Rank of the tier. */
    TIER_RANK("tierRank"),
    /** Name of the service. */
    SERVICE("service"),
    /** Name of the model. */
    MODEL("model"),
    /** Call of a plain service. */
    CALL("call"),
    /** Id of the target. */
    TARGET("target"),
    /** Version of the software of a target. */
    TARGET_VERSION("targetVersion"),
    /** What is known of the process at the other end of a connection to a target. */
    PROCESS("process"),
    /** Time in milliseconds for which a connection has been established. */
    CONNECTED_MILLIS("connectedMillis"),
    /** Version of the software of the target that sent the first event of a stream. */
    STREAM_VERSION("streamVersion"),
    /** Id of the attempt that brought the first event of a resumed stream. */
    RESUMES("resumes"),
    /** Id of the attempt that a response names; empty if it names none. */
    NAMED_ATTEMPT("namedAttempt"),
    /** Requests that a connection has carried, with the current one. */
    CARRIED("carried"),
    /** Id of the last event that the caller of a resumed stream has received. */
    LAST_EVENT("lastEvent"),
    /** Slice as service/dataCentre/index. */
    SLICE("slice"),
    /** Slices that a scheduler has not handed over, each as service/dataCentre/index. */
    SLICES("slices"),
    /** Share of a slice, from 0 to 1. */
    SHARE("share"),
    /** Grant in hexadecimal. */
    GRANT("grant"),
    /** Name of the error kind, or cause of a disconnection. */
    KIND("kind"),
    /** Whether the request was executed, as far as is known. */
    RAN("ran"),
    /** Tokens of the prompt. */
    PROMPT_TOKENS("promptTokens"),
    /** Prompt tokens that were not in the target's cache. */
    PREFILL_TOKENS("prefillTokens"),
    /** Tokens of the answer. */
    ANSWER_TOKENS("answerTokens"),
    /** Bytes of an answer that the connection of the caller had not accepted. */
    UNREAD_BYTES("unreadBytes"),
    /** Bytes received before a transfer ended. */
    RECEIVED_BYTES("receivedBytes"),
    /** Time in milliseconds that the request waited. */
    WAITED_MILLIS("waitedMillis"),
    /** Time in milliseconds from the dispatch to the first byte of the answer. */
    FIRST_BYTE_MILLIS("firstByteMillis"),
    /** Total duration in milliseconds. */
    TOTAL_MILLIS("totalMillis"),
    /** Time in milliseconds after which the caller may retry. */
    RETRY_AFTER_MILLIS("comeBackMillis"),
    /** Age in milliseconds of the state on which a decision is based, or duration of a silence. */
    AGE_MILLIS("ageMillis"),
    /** Previous state. */
    FROM("from"),
    /** New state. */
    TO("to"),
    /**
     * Concurrency limit; for a returned target, the remaining cold time in milliseconds; for rejections, their rate.
     */
    LIMIT("limit"),
    /** Number of targets that this process has reached over connections of its own within the last seconds. */
    REACHED_TARGETS("reachedTargets"),
    /** Number of published targets. */
    KNOWN_TARGETS("knownTargets"),
    /** Number of targets that owe this process a response and have sent nothing for too long. */
    SILENT_TARGETS("silentTargets"),
    /** Time since the last bytes of a response in milliseconds. */
    SILENT_MILLIS("silentMillis"),
    /** Whether a request is sent to another target, or why not. */
    DECISION("decision"),
    /** Requests at a target, divided by its slots. */
    OCCUPANCY("occupancy"),
    /** Mean time between the events of an answer, in milliseconds. */
    PACE_MILLIS("paceMillis"),
    /** Number of answers that a decision is based on. */
    SAMPLES("samples"),
    /** Predicted time to the first event, or estimated wait, in milliseconds. */
    PREDICTED_MILLIS("predictedMillis"),
    /** Rank of a floor. */
    FLOOR_RANK("floorRank"),
    /** Fencing number of an order. */
    FENCING_NUMBER("fencingNumber"),
    /** Action that an order requests. */
    ORDER("order"),
    /** HTTP status. */
    STATUS("status"),
    /** How the head of a target's response says where the body ends. */
    FRAMING("framing"),
    /** What ended a target's response. */
    ENDING("ending"),
    /** Whether an event stream ended inside an event. */
    INSIDE_EVENT("insideEvent"),
    /** Id of a trace. */
    TRACE_ID("traceId"),
    /** Id of a span. */
    SPAN_ID("spanId"),
    /** Id of the span's parent. */
    PARENT_SPAN_ID("parentSpanId"),
    /** Name of a span. */
    NAME("name"),
    /** Start of a span by the wall clock, in nanoseconds since the epoch. */
    START_UNIX_NANOS("startUnixNanos"),
    /** Duration of a span in microseconds. */
    DURATION_MICROS("durationMicros"),
    /** Attributes of a span. */
    ATTRIBUTES("attributes"),
    /** Number of requests ahead in the queue. */
    QUEUED_AHEAD("ahead"),
    /** Slots that an organisation held on average in the last second. */
    USE_SLOTS("useSlots"),
    /** Slots that the share of an organisation came to in the last second. */
    SHARE_SLOTS("shareSlots"),
    /** Time in milliseconds by which an organisation is ahead of the clock of its rank. */
    AHEAD_OF_CLOCK_MILLIS("aheadOfClockMillis"),
    /** Number of queued requests. */
    QUEUED("queued"),
    /** Time in milliseconds since the queue was last empty. */
    BACKLOG_AGE_MILLIS("standingMillis"),
    /** Tokens that a request takes from the quota of its organisation. */
    QUOTA_TOKENS("quotaTokens"),
    /** Remaining quota of the organisation; negative when it is overdrawn. */
    QUOTA_LEVEL("quotaLevel"),
    /** Digest of a request's content in hexadecimal; the same for all attempts of one request. */
    FINGERPRINT("fingerprint"),
    /** Digests of the parts of a prompt that other requests may share, in hexadecimal, separated by commas. */
    SHARED_PARTS("sharedParts"),
    /** Further connections of this process to a target. */
    OTHER_CONNECTIONS("otherConnections"),
    /** What the loss of a run's connection shows, or whether a request may be sent after such losses. */
    VERDICT("verdict"),
    /** Fingerprint that a verdict is on: that of a request or of a part that it shares with others. */
    SUBJECT("subject"),
    /** Runs of a request, one after the other, or targets lost with a part, that may have crashed. */
    CRASHES("crashes"),
    /** Requests per second that a target has stated it takes. */
    STATED_RATE("statedRate"),
    /** Part of the fixed retry allowance that this process may use. */
    RETRY_ALLOWANCE("retryAllowance"),
    /** Retries of this process in the current window. */
    RETRIES("retries"),
    /** Requests of callers to this process in the current window. */
    REQUESTS("requests"),
    /** Number of other processes that this process knows. */
    PEERS("peers"),
    /** Time in milliseconds that a planned stop may take. */
    GRACE_MILLIS("graceMillis"),
    /** Time in milliseconds since a planned stop began. */
    STOPPING_MILLIS("stoppingMillis"),
    /** Answers that were not written whole to their callers. */
    ANSWERS("answers"),
    /** Connections of callers. */
    CONNECTIONS("connections"),
    /** Connections to targets that are relayed for peers. */
    RELAYS("relays"),
    /** Requests that were not received whole. */
    INCOMPLETE_REQUESTS("incompleteRequests"),
    /** How far the handling of a request has got. */
    STAGE("stage"),
    /** Time in milliseconds from the head of a request to its last byte. */
    RECEIVING_MILLIS("receivingMillis"),
    /** Number of times that a request was sent to a target. */
    RUNS("runs"),
    /** Time in milliseconds since a request was sent to its latest target. */
    RUN_MILLIS("runMillis");

    private final String jsonName;

    EventField(String jsonName) {
        this.jsonName = jsonName;
    }

    /**
     * Returns the name of the field in log lines.
     *
     * @return name in camel case
     */
    public String jsonName() {
        return jsonName;
    }
}
