package org.whinwharf.traffic.coordination;

/** Receives changes of the load in flight at targets. */
@FunctionalInterface
public interface LoadListener {
    /**
     * Handles a changed load.
     *
     * @param targetId id of the target
     * @param load all requests in flight at the target
     */
    void changed(String targetId, RunningRequests.Load load);
}
