package org.whinwharf.runtime.log;

/** Closed list of the fields that events carry. None of them holds a secret, a prompt or an answer. */
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
    /** Why, in words. */
    REASON("reason"),
    /** Several reasons. */
    REASONS("reasons"),
    /** Exit code. */
    EXIT_CODE("exitCode"),
    /** Document generation. */
    GENERATION("generation"),
    /** Document digest in hexadecimal. */
    DIGEST("digest"),
    /** Where something came from. */
    SOURCE("source"),
    /** Revision of the host list. */
    REVISION("revision"),
    /** How many hosts. */
    HOSTS("hosts"),
    /** Host and role of another process. */
    PEER("peer"),
    /** Id of a request. */
    REQUEST("request"),
    /** Organisation. */
    ORGANISATION("organisation"),
    /** Rank of the tier. */
    TIER_RANK("tierRank"),
    /** Service. */
    SERVICE("service"),
    /** Model. */
    MODEL("model"),
    /** Call of a plain service. */
    CALL("call"),
    /** Target. */
    TARGET("target"),
    /** Slice as service/dataCentre/index. */
    SLICE("slice"),
    /** Share of a slice, from 0 to 1. */
    SHARE("share"),
    /** Grant in hexadecimal. */
    GRANT("grant"),
    /** Name of the error kind. */
    KIND("kind"),
    /** What is known of whether the request ran. */
    RAN("ran"),
    /** Tokens of the prompt. */
    PROMPT_TOKENS("promptTokens"),
    /** Prompt tokens that the target's cache did not hold. */
    PREFILL_TOKENS("prefillTokens"),
    /** Tokens of the answer. */
    ANSWER_TOKENS("answerTokens"),
    /** Bytes of an answer that the caller's connection had not taken. */
    UNREAD_BYTES("unreadBytes"),
    /** Bytes that came before something ended. */
    RECEIVED_BYTES("receivedBytes"),
    /** Milliseconds that the request waited. */
    WAITED_MILLIS("waitedMillis"),
    /** Milliseconds from sending to the first byte of the answer. */
    FIRST_BYTE_MILLIS("firstByteMillis"),
    /** Milliseconds from start to end. */
    TOTAL_MILLIS("totalMillis"),
    /** Milliseconds after which to come back. */
    RETRY_AFTER_MILLIS("comeBackMillis"),
    /** Age of what was known, in milliseconds. */
    AGE_MILLIS("ageMillis"),
    /** State before. */
    FROM("from"),
    /** State after. */
    TO("to"),
    /** Concurrency limit. */
    LIMIT("limit"),
    /** Requests at a target over its slots. */
    OCCUPANCY("occupancy"),
    /** Predicted time to the first event. */
    PREDICTED_MILLIS("predictedMillis"),
    /** Rank of a floor. */
    FLOOR_RANK("floorRank"),
    /** Fencing number of an order. */
    FENCING_NUMBER("fencingNumber"),
    /** What an order asks for. */
    ORDER("order"),
    /** HTTP status. */
    STATUS("status"),
    /** Id of a trace. */
    TRACE_ID("traceId"),
    /** Id of a span. */
    SPAN_ID("spanId"),
    /** Id of the span's parent. */
    PARENT_SPAN_ID("parentSpanId"),
    /** Name of a span. */
    NAME("name"),
    /** Wall clock at the start of a span, in nanoseconds. */
    START_UNIX_NANOS("startUnixNanos"),
    /** Duration of a span. */
    DURATION_MICROS("durationMicros"),
    /** Attributes of a span. */
    ATTRIBUTES("attributes"),
    /** Requests that went before it in a waiting line. */
    QUEUED_AHEAD("ahead"),
    /** Milliseconds for which a waiting line had not emptied. */
    BACKLOG_AGE_MILLIS("standingMillis"),
    /** What a request uses of its organisation's quota. */
    QUOTA_TOKENS("quotaTokens"),
    /** What was left of the quota, below 0 a debt. */
    QUOTA_LEVEL("quotaLevel");

    private final String jsonName;

    EventField(String jsonName) {
        this.jsonName = jsonName;
    }

    /**
     * Returns the name in the log line.
     *
     * @return name in camel case
     */
    public String jsonName() {
        return jsonName;
    }
}
