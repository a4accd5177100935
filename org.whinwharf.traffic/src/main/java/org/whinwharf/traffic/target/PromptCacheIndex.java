package org.whinwharf.traffic.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the targets that recently prefilled each prompt, as far as this process knows.
 *
 * <p>At high load, the engine that prefilled a prompt last usually has no free slot, so the index keeps all engines
 * that prefilled it recently. Its size is limited; a lost entry costs only one repeated prefill.
 */
public final class PromptCacheIndex {
    /** Maximum number of prompts: ten times the subjects that a fleet of ninety sees within the retention time. */
    private static final int MAX_PROMPTS = 4_000;
    /**
     * Maximum targets per prompt: if one slot in six is free, at least one of eight targets has one four times in five.
     */
    private static final int MAX_TARGETS_PER_PROMPT = 8;
    /**
     * Time for which an engine is assumed to cache a prompt: its memory holds about seventy of the longest prompts, and
     * at full load it prefills three per second.
     */
    private static final long CACHE_RETENTION_MILLIS = 20_000;
    /** Maximum length of a part's id; of a longer one, its beginning and its hash code stand for it. */
    private static final int MAX_ID_LENGTH = 64;
    /** Length of this beginning, which leaves room for the hash code. */
    private static final int ID_PREFIX_LENGTH = 48;

    private final Map<String, Map<String, Long>> prefilledAtMillis = new LruMap<>(MAX_PROMPTS);

    /** A bounded map that evicts the least recently used entry. */
    private static final class LruMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        private final int maxEntries;

        LruMap(int maxEntries) {
            super(16, 0.75f, true);
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > maxEntries;
        }
    }

    /**
     * Returns the parts of a prompt that the index uses: the first and the last, with ids of bounded length. They may
     * take the place of all parts in the other methods.
     *
     * @param parts the prompt's parts, in order
     * @return at most two parts
     */
    public static List<PromptPart> indexedParts(List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return List.of();
        }
        PromptPart last = new PromptPart(key(parts), last(parts).tokens());
        return parts.size() == 1
                ? List.of(last)
                : List.of(
                        new PromptPart(bounded(parts.get(0).id()), parts.get(0).tokens()), last);
    }

    /**
     * Records that a target prefills a prompt.
     *
     * @param parts the prompt's parts, in order
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordPrefill(List<PromptPart> parts, String targetId, long nowMillis) {
        if (!parts.isEmpty()) {
            prefilledAtMillis
                    .computeIfAbsent(key(parts), id -> new LruMap<>(MAX_TARGETS_PER_PROMPT))
                    .put(targetId, nowMillis);
        }
    }

    /**
     * Estimates how many tokens of a prompt a target has to prefill.
     *
     * @param parts the prompt's parts, in order
     * @param promptTokens length of the whole prompt
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     * @return number of tokens that the target is not assumed to have cached
     */
    public long uncachedTokens(List<PromptPart> parts, long promptTokens, String targetId, long nowMillis) {
        if (parts.isEmpty()) {
            return promptTokens;
        }
        Long lastPrefillMillis =
                prefilledAtMillis.getOrDefault(key(parts), Map.of()).get(targetId);
        if (lastPrefillMillis != null && nowMillis - lastPrefillMillis <= CACHE_RETENTION_MILLIS) {
            return 0;
        }
        long sharedTokens = parts.size() > 1 ? parts.get(0).tokens() : 0;
        return Math.max(0, promptTokens - sharedTokens);
    }

    private static String key(List<PromptPart> parts) {
        return bounded(last(parts).id());
    }

    /** Shortens a long id; two that become the same only make an estimate wrong. */
    private static String bounded(String id) {
        return id.length() <= MAX_ID_LENGTH
                ? id
                : id.substring(0, ID_PREFIX_LENGTH) + '#' + Integer.toHexString(id.hashCode());
    }

    private static PromptPart last(List<PromptPart> parts) {
        return parts.get(parts.size() - 1);
    }
}
