package org.whinwharf.standin.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefixes of prompts in limited memory, the least recently used one leaves first. */
final class PrefixCache {
    private static final int BLOCK_CHARACTERS = 256;
    private static final int BLOCK_TOKENS = 64;
    private static final int MAX_BLOCKS = 16;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final int maxBlocks;
    private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int tokens) {
        this.maxBlocks = tokens / BLOCK_TOKENS;
    }

    /**
     * Change of what the cache holds.
     *
     * @param digest digest of the prefix
     * @param stored whether it came; it left otherwise
     */
    record Change(String digest, boolean stored) {}

    static int tokens(String prompt) {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    static List<String> digests(String prompt) {
        List<String> digests = new ArrayList<>();
        int count = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
        for (int k = 1; k <= count; k++) {
            String prefix = prompt.substring(0, k * BLOCK_CHARACTERS);
            digests.add(Hashing.sipHash24()
                    .hashString(prefix, StandardCharsets.UTF_8)
                    .toString());
        }
        return digests;
    }

    /** Returns how many tokens of the prompt must be read because the cache does not hold them. */
    int missingTokens(String prompt, List<String> digests) {
        int held = digests.size();
        while (held > 0 && blocks.get(digests.get(held - 1)) == null) {
            held--;
        }
        return tokens(prompt) - held * BLOCK_TOKENS;
    }

    List<Change> store(List<String> digests) {
        List<Change> changes = new ArrayList<>();
        for (String digest : digests) {
            if (blocks.put(digest, Boolean.TRUE) == null) {
                changes.add(new Change(digest, true));
            }
        }
        Iterator<String> oldest = blocks.keySet().iterator();
        for (int excess = blocks.size() - maxBlocks; excess > 0; excess--) {
            changes.add(new Change(oldest.next(), false));
            oldest.remove();
        }
        return changes;
    }

    void clear() {
        blocks.clear();
    }
}
