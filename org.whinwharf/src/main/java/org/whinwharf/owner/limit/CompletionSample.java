package org.whinwharf.owner.limit;

/**
 * Measured times and token counts of one completed request.
 *
 * @param firstTokenMillis time to the first token; 0 when there was none
 * @param totalMillis time to the end of the answer
 * @param prefillTokens prompt tokens that were not in the target's cache
 * @param promptTokens all tokens of the prompt
 * @param answerTokens tokens of the answer
 */
public record CompletionSample(
        long firstTokenMillis, long totalMillis, int prefillTokens, int promptTokens, int answerTokens) {}
