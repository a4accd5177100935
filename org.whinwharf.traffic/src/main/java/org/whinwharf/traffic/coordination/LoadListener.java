package org.whinwharf.traffic.coordination;

/** Takes changes of what is under way at targets. */
@FunctionalInterface
public interface LoadListener {
    /**
     * Takes a change.
     *
     * @param targetId id of the target
     * @param load everything under way there
     */
    void changed(String targetId, RunningRequests.Load load);
}
