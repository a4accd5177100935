package org.whinwharf.traffic.path;

/** Receives changes of the paths from this process to targets. */
public interface PathListener {
    /**
     * Handles that a path was lost.
     *
     * @param targetId id of the target
     * @param peer name of a peer that reaches the target
     */
    void pathLost(String targetId, String peer);

    /**
     * Handles that a lost path works again.
     *
     * @param targetId id of the target
     */
    void pathRestored(String targetId);

    /** Handles that this process reaches no target any longer. */
    void partitionBegan();

    /** Handles that this process reaches a target again. */
    void partitionEnded();
}
