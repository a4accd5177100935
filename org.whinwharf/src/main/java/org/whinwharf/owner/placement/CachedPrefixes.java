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

    private static final int MOST = 8192;
    private static final float LOAD = 0.75f;
    private static final int RADIX = 16;

    private final Map<Long, Boolean> held = new Recent();
    private long startNumber;
    private long lastEventNumber;

    /** Forgets all, for example after the target started anew. */
    public void clear() {
        held.clear();
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
            parse(event);
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
            if (held.get(prefix) == null) {
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
        prefixes.forEach(prefix -> held.put(prefix, Boolean.TRUE));
    }

    private void parse(CacheEvent event) {
        try {
            long digest = Long.parseUnsignedLong(event.getDigest(), RADIX);
            if (event.getStored()) {
                held.put(digest, Boolean.TRUE);
            } else {
                held.remove(digest);
            }
        } catch (NumberFormatException malformed) {
            // A digest of another form matches no prompt; the rest of the events is still of use.
            return;
        }
    }

    /** Keeps the prefixes that were used last. */
    private static final class Recent extends LinkedHashMap<Long, Boolean> {
        private static final long serialVersionUID = 1L;

        Recent() {
            super(MOST / BLOCK_TOKENS, LOAD, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MOST;
        }
    }
}
