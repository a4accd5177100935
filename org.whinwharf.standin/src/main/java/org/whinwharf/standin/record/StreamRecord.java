package org.whinwharf.standin.record;

/**
 * One stream that an engine admitted.
 *
 * @param id id of the stream, as the caller of the engine chose it
 * @param model model that was asked for
 * @param startMillis when it was admitted, in Unix milliseconds
 * @param endMillis when it ended, in Unix milliseconds; 0 while it runs
 * @param tokens tokens that were made
 * @param posts how often the id was posted, refusals as duplicate included
 * @param outcome {@code running}, {@code completed}, {@code cancelled} or {@code failed}
 * @param promptTokens tokens of the prompt
 * @param prefillTokens tokens of the prompt that the cache did not hold
 * @param inputDigest digest of the prompt, see {@link org.whinwharf.standin.StandInText#inputDigest}
 */
public record StreamRecord(
        String id,
        String model,
        long startMillis,
        long endMillis,
        int tokens,
        int posts,
        String outcome,
        int promptTokens,
        int prefillTokens,
        String inputDigest) {}
