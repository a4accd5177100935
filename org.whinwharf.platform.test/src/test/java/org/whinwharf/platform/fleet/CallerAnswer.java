package org.whinwharf.platform.fleet;

import java.util.OptionalLong;

/**
 * A caller's own record of an attempt.
 *
 * @param attemptId id of the attempt
 * @param path path of the request
 * @param frontIp address of the front to which it was sent
 * @param kept whether the connection had carried another request before
 * @param sentNanos time at which its first byte was sent
 * @param endedNanos time at which its answer, its connection or the caller's patience ended
 * @param status status of the answer; 0 if none
 * @param answeredAttemptId attempt id in the answer; empty if none
 * @param seal the worker's seal; empty if none
 * @param body what there is of the body
 * @param end how it ended
 * @param firstAttemptId attempt that brought the first event of the stream; empty for a stream that is not resumed
 * @param afterEvent id of the last event of the stream before this attempt
 * @param strayBytes bytes that were on the connection before the request was sent
 * @param upload how it was sent
 */
record CallerAnswer(
        String attemptId,
        String path,
        String frontIp,
        boolean kept,
        long sentNanos,
        long endedNanos,
        int status,
        String answeredAttemptId,
        String seal,
        String body,
        End end,
        String firstAttemptId,
        int afterEvent,
        int strayBytes,
        Upload upload) {
    /** How an attempt ended. */
    enum End {
        COMPLETE,
        /** The connection was closed or reset, or its bytes were no answer. */
        CLOSED,
        TIMED_OUT,
        /** The caller left early. */
        LEFT
    }

    /**
     * How a request was sent.
     *
     * @param pace pace of its body
     * @param lastByteNanos time at which its last byte was sent; empty if it was not
     */
    record Upload(BodyPace pace, OptionalLong lastByteNanos) {}

    AttemptKind kind() {
        return AttemptKind.of(path);
    }

    /** Tells whether the caller may take the answer for a success. */
    boolean succeeded() {
        return end == End.COMPLETE && status >= 200 && status < 300;
    }
}
