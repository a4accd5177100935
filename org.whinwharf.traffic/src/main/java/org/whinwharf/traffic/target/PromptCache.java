package org.whinwharf.traffic.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where each part of a prompt was read, as far as this process knows.
 *
 * <p>An engine keeps a part that it has read, and does not read it again behind the same parts. Some prompts share
 * their first part only, those of one session all but their last. At high load the one engine that read a part last
 * mostly has no free slot, so all that read it lately are remembered. Bounded: a lost entry costs one part that is read
 * again.
 */
public final class PromptCache {
    /** Parts remembered, those used last; parts that many prompts share are used often and stay. */
    private static final int MOST_PARTS = 4_000;
    /** Targets remembered for each part: at one free slot in six, some of eight is free four times in five. */
    private static final int MOST_TARGETS = 8;
    /**
     * Time for which an engine is taken to keep a prompt: its memory holds some seventy of the longest, and at full
     * load it reads three a second.
     */
    private static final long KEPT_MILLIS = 20_000;

    private final Map<String, Map<String, Long>> readAtMillis = new Bounded<>(MOST_PARTS);

    /** A map that drops what was used least recently. */
    private static final class Bounded<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        private final int most;

        Bounded(int most) {
            super(16, 0.75f, true);
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > most;
        }
    }

    /**
     * Notes that a target reads a prompt.
     *
     * @param parts the prompt's parts, in order
     * @param targetId id of the target
     * @param nowMillis steady time in milliseconds
     */
    public void reads(List<PromptPart> parts, String targetId, long nowMillis) {
        for (PromptPart part : parts) {
            readAtMillis
                    .computeIfAbsent(part.id(), id -> new Bounded<>(MOST_TARGETS))
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
        long uncached = promptTokens;
        for (PromptPart part : parts) {
            if (!keeps(targetId, part, nowMillis)) {
                break;
            }
            uncached -= part.tokens();
        }
        return Math.max(0, uncached);
    }

    /**
     * Tells whether a target is taken to keep the part that a prompt begins with.
     *
     * @param parts the prompt's parts, in order
     * @param targetId id of the target
     * @param nowMillis steady time in milliseconds
     * @return true when it was read there lately, or there are no parts
     */
    public boolean keepsFirst(List<PromptPart> parts, String targetId, long nowMillis) {
        return parts.isEmpty() || keeps(targetId, parts.get(0), nowMillis);
    }

    private boolean keeps(String targetId, PromptPart part, long nowMillis) {
        Long atMillis = readAtMillis.getOrDefault(part.id(), Map.of()).get(targetId);
        return atMillis != null && nowMillis - atMillis <= KEPT_MILLIS;
    }
}
