package org.whinwharf.front;

/**
 * What a target process reports of a run, as a line of its standard output.
 *
 * @param kind what happened
 * @param attemptId attempt id of the request
 * @param unixMillis time at which it happened
 */
record TargetReport(Kind kind, String attemptId, long unixMillis) {
    enum Kind {
        BEGUN,
        /** Bytes of the response were written. */
        BYTES,
        COMPLETED,
        /** The connection ended before the last byte was written. */
        CANCELLED
    }

    static TargetReport now(Kind kind, String attemptId) {
        return new TargetReport(kind, attemptId, System.currentTimeMillis());
    }

    static TargetReport parse(String line) {
        String[] fields = line.split(" ");
        return new TargetReport(Kind.valueOf(fields[0]), fields[1], Long.parseLong(fields[2]));
    }

    String toLine() {
        return kind + " " + attemptId + " " + unixMillis;
    }
}
