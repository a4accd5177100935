package org.whinwharf.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Text that stand-ins answer with: a function of request and input alone, so that a foreign or torn answer shows. */
public final class StandInText {
    private StandInText() {}

    /**
     * Returns one token of an engine's answer.
     *
     * @param id id of the stream
     * @param prompt prompt of the stream
     * @param index index of the token, from 0
     * @return eight hexadecimal digits and a space
     */
    public static String token(String id, String prompt, int index) {
        return token(seed(id, prompt), index);
    }

    /**
     * Returns the seed of an answer's tokens.
     *
     * @param id id of the stream or call
     * @param input prompt or body
     * @return hash of both
     */
    public static long seed(String id, String input) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(id, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(input, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns one token of the answer that has this seed.
     *
     * @param seed seed from {@link #seed}
     * @param index index of the token, from 0
     * @return eight hexadecimal digits and a space
     */
    public static String token(long seed, int index) {
        return Hashing.murmur3_32_fixed((int) seed).hashLong(seed + index) + " ";
    }

    /**
     * Returns the whole text of an engine's answer.
     *
     * @param id id of the stream
     * @param prompt prompt of the stream
     * @param tokens number of tokens
     * @return the tokens, one after the other
     */
    public static String answer(String id, String prompt, int tokens) {
        long seed = seed(id, prompt);
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(seed, index));
        }
        return text.toString();
    }

    /**
     * Returns a digest of a prompt or body, by which a request is found among those that ran.
     *
     * @param input prompt or body
     * @return hexadecimal digits
     */
    public static String inputDigest(String input) {
        return Hashing.murmur3_128().hashString(input, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns the answer of a plain service.
     *
     * @param id id of the call
     * @param name name of the call
     * @param body body of the call
     * @return text of the answer
     */
    public static String callAnswer(String id, String name, String body) {
        return name + " done " + Long.toHexString(seed(id, body));
    }
}
