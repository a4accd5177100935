package org.whinwharf.traffic.coordination;

/** Receives the outcomes of other processes' requests, which determine the health of targets. */
public interface TargetOutcomeListener {
    /**
     * Handles that a target answered a request successfully.
     *
     * @param targetId id of the target
     */
    void answered(String targetId);

    /**
     * Handles that a target answered with an error or refused a request.
     *
     * @param targetId id of the target
     */
    void erred(String targetId);

    /**
     * Handles that a target failed a request.
     *
     * @param targetId id of the target
     * @param conclusive true if the target was unreachable, so that a single request proves the failure
     * @param reporter name of the process that sent the request
     */
    void failed(String targetId, boolean conclusive, String reporter);

    /**
     * Handles that a target has sent nothing for too long.
     *
     * @param targetId id of the target
     * @param reporter name of the process that sent the request
     */
    void silent(String targetId, String reporter);

    /**
     * Handles that a target has sent bytes, whatever they say.
     *
     * @param targetId id of the target
     */
    void resumed(String targetId);
}
