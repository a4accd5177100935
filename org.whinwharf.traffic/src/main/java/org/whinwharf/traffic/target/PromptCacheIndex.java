package org.whinwharf.traffic.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where each prompt was read, as far as this process knows.
 *
 * <p>At high load the one engine that read a prompt last mostly has no free slot, so all that read it lately are
 * remembered. Bounded: a lost entry costs one prompt that is read again, nothing more.
 */
public final class PromptCacheIndex {
    /** Prompts remembered; ten times the subjects that a fleet of ninety sees within the time of keeping. */
    private static final int MAX_PROMPTS = 4_000;
    /** Targets remembered for each prompt: at one free slot in six, some of eight is free four times in five. */
    private static final int MAX_TARGETS_PER_PROMPT = 8;
    /**
     * Time for which an engine is taken to keep a prompt: its memory holds some seventy of the longest, and at full
     * load it reads three a second.
     */
    private static final long CACHE_RETENTION_MILLIS = 20_000;

    private final Map<String, Map<String, Long>> prefilledAtMillis = new LruMap<>(MAX_PROMPTS);

    /** A map that drops what was used least recently. */
    private static final class LruMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        private final int maxEntries;

        LruMap(int most) {
            super(16, 0.75f, true);
            this.maxEntries = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > maxEntries;
        }
    }

    /**
     * Notes that a target reads a prompt.
     *
     * @param parts the prompt's parts, in order
     * @param targetId id of the target
     * @param nowMillis steady time in milliseconds
     */
    public void recordPrefill(List<PromptPart> parts, String targetId, long nowMillis) {
        if (!parts.isEmpty()) {
            prefilledAtMillis
                    .computeIfAbsent(last(parts).id(), id -> new LruMap<>(MAX_TARGETS_PER_PROMPT))
                    .put(targetId, nowMillis);
        }
    }

    /**
     * Estimates how much of a prompt a target has to read.
     *
     * @param parts the prompt's parts, in order
     * @param promptTokens length of the whole prompt
     * @param targetId id of the target
     * @param nowMillis steady time in milliseconds
     * @return tokens
     */
    public long uncachedTokens(List<PromptPart> parts, long promptTokens, String targetId, long nowMillis) {
        if (parts.isEmpty()) {
            return promptTokens;
        }
        Long atMillis =
                prefilledAtMillis.getOrDefault(last(parts).id(), Map.of()).get(targetId);
        if (atMillis != null && nowMillis - atMillis <= CACHE_RETENTION_MILLIS) {
            return 0;
        }
        long shared = parts.size() > 1 ? parts.get(0).tokens() : 0;
        return Math.max(0, promptTokens - shared);
    }

    private static PromptPart last(List<PromptPart> parts) {
        return parts.get(parts.size() - 1);
    }
}
