package org.whinwharf.platform.fleet;

import java.util.OptionalLong;

/**
 * A worker's own record of a request that reached it.
 *
 * @param number number among all records of the fleet
 * @param workerId id of the worker
 * @param version software version of the worker
 * @param attemptId attempt id of the request
 * @param path path of the request
 * @param tenant organisation that the request names; empty if none
 * @param afterEvent id of the event after which a stream is to go on
 * @param executed whether the worker began to work on it
 * @param status status that was written; 0 if none
 * @param end how it ended
 * @param body body of the whole answer; for streams, the events that were written
 * @param repeated whether the answer, a part of it, or other bytes that answer no request were written after it
 * @param beganNanos time of arrival
 * @param endedNanos time of the end; the time of arrival while it runs
 * @param leavingSinceNanos time at which the store confirmed that the worker leaves, if that was before the arrival
 */
record WorkerRun(
        long number,
        String workerId,
        String version,
        String attemptId,
        String path,
        String tenant,
        int afterEvent,
        boolean executed,
        int status,
        End end,
        String body,
        boolean repeated,
        long beganNanos,
        long endedNanos,
        OptionalLong leavingSinceNanos) {
    /** How the work on a request ended. */
    enum End {
        RUNNING,
        /** The whole answer was written. */
        WRITTEN,
        /** The worker wrote a part of its answer, no answer, or bytes that are none. */
        BROKEN_OFF,
        /** The worker ended a stream that declares no end between two events, as it ends a whole one. */
        CUT,
        /** The other side closed the connection. */
        CALLER_LEFT,
        CRASHED
    }

    /** Returns the seal of the answer, which identifies the run. */
    String seal() {
        return number + "." + workerId;
    }

    /** Returns the record of the same request at its end. */
    WorkerRun ended(End how, int lastStatus, String written, boolean twice) {
        return new WorkerRun(
                number,
                workerId,
                version,
                attemptId,
                path,
                tenant,
                afterEvent,
                executed,
                lastStatus,
                how,
                written,
                twice,
                beganNanos,
                System.nanoTime(),
                leavingSinceNanos);
    }
}
