package org.whinwharf.traffic.share;

/** Listener for the limits that shares set to organisations. */
@FunctionalInterface
public interface ShareListener {
    /** Listener that ignores everything. */
    ShareListener NONE = (service, organisation, use) -> {};

    /**
     * Called when a request of an organisation beyond its share was refused, at most once a second for each service.
     *
     * @param service name of the service
     * @param organisation name of the organisation; empty if it is unknown
     * @param use its use and its share
     */
    void limited(String service, String organisation, ShareUse use);
}
