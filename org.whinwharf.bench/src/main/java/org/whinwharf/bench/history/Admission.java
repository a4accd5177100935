package org.whinwharf.bench.history;

/**
 * Request that a target admitted.
 *
 * @param target name of the target
 * @param dataCentre its data centre
 * @param requestId id under which the request came
 * @param inputDigest digest of its prompt or body
 * @param startMillis when it was admitted, in Unix milliseconds
 * @param dispatches how often the id was sent to this target
 */
record Admission(
        String target, String dataCentre, String requestId, String inputDigest, long startMillis, int dispatches) {}
