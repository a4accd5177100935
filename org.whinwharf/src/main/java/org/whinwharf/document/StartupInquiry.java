package org.whinwharf.document;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides when a process that has just started has asked its peers enough to serve.
 *
 * <p>A process that started while the configuration service is stale would serve under an old document although its
 * peers have a newer one; one would notice a data centre that receives new work again through the new host only. So it
 * waits until every peer has answered or was found unreachable, for a bounded time.
 *
 * <p>Not safe for use by several threads.
 */
public final class StartupInquiry {
    private final long startedAtMillis;
    private final long patienceMillis;
    private final Set<String> done = new HashSet<>();
    private Set<String> peers = Set.of();
    private boolean listKnown;

    /**
     * Begins an inquiry.
     *
     * @param nowMillis monotonic clock
     * @param patienceMillis longest wait for peers that neither answer nor refuse, in milliseconds
     */
    public StartupInquiry(long nowMillis, long patienceMillis) {
        this.startedAtMillis = nowMillis;
        this.patienceMillis = patienceMillis;
    }

    /**
     * Takes the peers of the host list.
     *
     * @param hosts live hosts other than this one
     */
    public void peers(Set<String> hosts) {
        peers = Set.copyOf(hosts);
        listKnown = true;
    }

    /**
     * Notes that a peer answered, also that it has no document, or that it cannot be reached.
     *
     * @param host the peer
     */
    public void done(String host) {
        done.add(host);
    }

    /**
     * Tells whether enough was asked.
     *
     * @param nowMillis monotonic clock
     * @return true when all known peers are done, or when the patience has run out
     */
    public boolean isComplete(long nowMillis) {
        boolean allDone = listKnown && done.containsAll(peers);
        return allDone || nowMillis - startedAtMillis >= patienceMillis;
    }
}
