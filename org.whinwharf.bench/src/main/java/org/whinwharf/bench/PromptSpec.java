package org.whinwharf.bench;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Names a prompt in a few bytes; its text can be made again from them.
 *
 * @param shared name of the part that prompts have in common; their first characters are the same
 * @param sharedCharacters length of that part
 * @param own name of the part that is this prompt's alone
 * @param characters length of the whole prompt
 */
public record PromptSpec(String shared, int sharedCharacters, String own, int characters) {
    private static final int WORD_CHARACTERS = 6;
    private static final int LETTERS = 26;

    /**
     * Makes the prompt.
     *
     * @return text of the given length
     */
    public String text() {
        StringBuilder text = new StringBuilder(characters);
        append(text, shared, Math.min(sharedCharacters, characters));
        text.append(own, 0, Math.min(own.length(), characters - text.length()));
        append(text, own, characters);
        return text.toString();
    }

    private static void append(StringBuilder text, String seedName, int length) {
        long seed = Hashing.murmur3_128()
                .hashString(seedName, StandardCharsets.UTF_8)
                .asLong();
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        while (text.length() < length) {
            boolean space = text.length() % WORD_CHARACTERS == WORD_CHARACTERS - 1;
            text.append(space ? ' ' : (char) ('a' + random.nextInt(LETTERS)));
        }
    }
}
