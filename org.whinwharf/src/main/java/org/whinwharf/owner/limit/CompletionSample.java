package org.whinwharf.owner.limit;

/**
 * What one completed request took.
 *
 * @param firstTokenMillis time until the first token; 0 when there was none
 * @param totalMillis time until the end
 * @param prefillTokens prompt tokens that the cache did not hold
 * @param promptTokens prompt tokens in all
 * @param answerTokens tokens of the answer
 */
public record CompletionSample(
        long firstTokenMillis, long totalMillis, int prefillTokens, int promptTokens, int answerTokens) {}
