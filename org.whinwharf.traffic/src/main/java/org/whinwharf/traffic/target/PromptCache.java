package org.whinwharf.traffic.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where each prompt was last read, as far as this process sent it.
 *
 * <p>Bounded: a lost entry costs one prompt that is read again, nothing more.
 */
public final class PromptCache {
    /** Prompts remembered; ten times the subjects one process sees in a minute at the size in use. */
    private static final int MOST_PROMPTS = 4_000;

    private final Map<String, String> targetByPart = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_PROMPTS;
        }
    };

    /**
     * Notes that a target reads a prompt.
     *
     * @param parts the prompt's parts, in order
     * @param targetId id of the target
     */
    public void reads(List<PromptPart> parts, String targetId) {
        if (!parts.isEmpty()) {
            targetByPart.put(last(parts).id(), targetId);
        }
    }

    /**
     * Estimates how much of a prompt a target has to read.
     *
     * @param parts the prompt's parts, in order
     * @param promptTokens length of the whole prompt
     * @param targetId id of the target
     * @return tokens
     */
    public long uncachedTokens(List<PromptPart> parts, long promptTokens, String targetId) {
        if (parts.isEmpty()) {
            return promptTokens;
        }
        if (targetId.equals(targetByPart.get(last(parts).id()))) {
            return 0;
        }
        long shared = parts.size() > 1 ? parts.get(0).tokens() : 0;
        return Math.max(0, promptTokens - shared);
    }

    private static PromptPart last(List<PromptPart> parts) {
        return parts.get(parts.size() - 1);
    }
}
