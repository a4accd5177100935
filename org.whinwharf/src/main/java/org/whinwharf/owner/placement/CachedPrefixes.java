package org.whinwharf.owner.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.wire.schema.CacheEvent;
import org.whinwharf.wire.schema.CacheEvents;

/**
 * Digests of the prompt prefixes that a target's cache is believed to hold.
 *
 * <p>Learned from the target's events and from the requests that it served. Events come late and with gaps, so a belief
 * may be wrong either way: a missed "stored" is made good by what the target served itself, a missed "dropped" by the
 * bound on what is remembered, least recently used first.
 */
public final class CachedPrefixes {
    /** Prompt tokens that one more digest stands for. */
    public static final int BLOCK_TOKENS = 64;

    private static final int MAX_DIGESTS = 8192;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int DIGEST_RADIX = 16;

    private final Map<Long, Boolean> digests = new LruMap();
    private long startNumber;
    private long lastEventNumber;

    /** Forgets all, for example after the target started anew. */
    public void clear() {
        digests.clear();
        lastEventNumber = 0;
    }

    /**
     * Returns the number of the last event seen, for the next question.
     *
     * @return number; 0 when none was seen
     */
    public long lastEventNumber() {
        return lastEventNumber;
    }

    /**
     * Takes in events of the target.
     *
     * @param events the target's answer
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
     * Returns how many prompt tokens the cache is believed to lack.
     *
     * @param prefixes digests of the prompt's prefixes, shortest first
     * @param promptTokens tokens of the prompt
     * @return tokens to prefill
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
     * Learns from a request that the target served.
     *
     * @param prefixes digests of its prompt's prefixes, shortest first
     */
    public void addServed(List<Long> prefixes) {
        // Served prompts are in the cache now, whatever was believed before and whatever their events say later.
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
            // A digest of another form matches no prompt; the rest of the events is still of use.
            return;
        }
    }

    /** Keeps the prefixes that were used last. */
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
