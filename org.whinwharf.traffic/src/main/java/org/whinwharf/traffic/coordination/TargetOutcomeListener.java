package org.whinwharf.traffic.coordination;

/** Takes what other processes saw of targets, for the targets' health. */
public interface TargetOutcomeListener {
    /**
     * Takes that a target answered a request properly.
     *
     * @param targetId id of the target
     */
    void answered(String targetId);

    /**
     * Takes that a target answered with an error, or refused a request.
     *
     * @param targetId id of the target
     */
    void erred(String targetId);

    /**
     * Takes that a target failed a request.
     *
     * @param targetId id of the target
     * @param certain true when it could not be reached or fell silent, so that one request shows it
     */
    void failed(String targetId, boolean certain);
}
