package org.whinwharf.owner.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.wire.schema.CacheEvent;
import org.whinwharf.wire.schema.CacheEvents;

/**
 * Digests of the prompt prefixes that a target's cache is assumed to hold.
 *
 * <p>The digests are learned from the target's cache events and from the requests that the target served. Events arrive
 * late and with gaps, so the set may be wrong in either direction. A missed "stored" event is compensated by the
 * requests that the target served; a missed "dropped" event by the bound on the number of digests, which evicts the
 * least recently used.
 */
public final class CachedPrefixes {
    /** Number of prompt tokens by which one prefix is longer than the one before it. */
    public static final int BLOCK_TOKENS = 64;

    private static final int MAX_DIGESTS = 8192;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int DIGEST_RADIX = 16;

    private final Map<Long, Boolean> digests = new LruMap();
    private long startNumber;
    private long lastEventNumber;

    /** Clears all digests, for example after the target restarted. */
    public void clear() {
        digests.clear();
        lastEventNumber = 0;
    }

    /**
     * Returns the number of the last event received, from which the next request for events continues.
     *
     * @return number; 0 when no event was received
     */
    public long lastEventNumber() {
        return lastEventNumber;
    }

    /**
     * Applies cache events of the target.
     *
     * @param events response of the target
     */
    public void applyEvents(CacheEvents events) {
        if (events.getStartNumber() != startNumber) {
            clear();
            startNumber = events.getStartNumber();
        }
        for (CacheEvent event : events.getEventsList()) {
            lastEventNumber = Math.max(lastEventNumber, event.getNumber());
            apply(event);
        }
    }

    /**
     * Returns how many tokens of a prompt are assumed not to be in the cache.
     *
     * @param prefixes digests of the prompt's prefixes, shortest first
     * @param promptTokens tokens of the prompt
     * @return number of tokens to prefill
     */
    public int uncachedTokens(List<Long> prefixes, int promptTokens) {
        int blocks = 0;
        for (Long prefix : prefixes) {
            if (digests.get(prefix) == null) {
                break;
            }
            blocks++;
        }
        return Math.max(0, promptTokens - blocks * BLOCK_TOKENS);
    }

    /**
     * Adds the prefixes of a request that the target served.
     *
     * @param prefixes digests of its prompt's prefixes, shortest first
     */
    public void addServed(List<Long> prefixes) {
        // The prompt of a served request is in the cache now, regardless of what was assumed before and of later
        // events.
        prefixes.forEach(prefix -> digests.put(prefix, Boolean.TRUE));
    }

    private void apply(CacheEvent event) {
        try {
            long digest = Long.parseUnsignedLong(event.getDigest(), DIGEST_RADIX);
            if (event.getStored()) {
                digests.put(digest, Boolean.TRUE);
            } else {
                digests.remove(digest);
            }
        } catch (NumberFormatException malformed) {
            // A digest in another format matches no prompt; the remaining events are still valid.
            return;
        }
    }

    /** Map that evicts the least recently used digest. */
    private static final class LruMap extends LinkedHashMap<Long, Boolean> {
        private static final long serialVersionUID = 1L;

        LruMap() {
            super(MAX_DIGESTS / BLOCK_TOKENS, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_DIGESTS;
        }
    }
}
