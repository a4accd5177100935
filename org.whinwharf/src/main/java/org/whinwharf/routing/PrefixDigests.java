package org.whinwharf.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Computes the digests of a prompt's prefixes and its number of tokens in the same way as the engines. */
public final class PrefixDigests {
    /** Tokens that each digest covers in addition to the previous one. */
    public static final int TOKENS_PER_DIGEST = 64;

    private static final int BLOCK_CHARS = 256;
    private static final int MAX_DIGESTS = 16;
    private static final int CHARS_PER_TOKEN = 4;
    private static final HashFunction HASH = Hashing.sipHash24();

    private PrefixDigests() {}

    /**
     * Computes the digests of a prompt's prefixes.
     *
     * @param prompt the prompt
     * @return digests of its first 256, 512, ... characters, shortest first, at most 16
     */
    public static List<Long> of(String prompt) {
        int count = Math.min(MAX_DIGESTS, prompt.length() / BLOCK_CHARS);
        List<Long> digests = new ArrayList<>(count);
        for (int k = 1; k <= count; k++) {
            String prefix = prompt.substring(0, k * BLOCK_CHARS);
            digests.add(HASH.hashString(prefix, StandardCharsets.UTF_8).asLong());
        }
        return List.copyOf(digests);
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param prompt the prompt
     * @return a quarter of its characters, rounded up
     */
    public static int tokens(String prompt) {
        return (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }
}
