package org.whinwharf.home;

/**
 * Times and token counts of an ended request.
 *
 * @param waitedMillis from the arrival to the sending, or to the end of a request that was not sent
 * @param firstTokenMillis from the sending to the first token; 0 when none came
 * @param totalMillis from the sending to the end; 0 when it was not sent
 * @param prefillTokens prompt tokens that the target's cache lacked
 * @param promptTokens prompt tokens in all, as the target counted
 * @param answerTokens tokens of the answer
 */
public record RequestTimes(
        long waitedMillis,
        long firstTokenMillis,
        long totalMillis,
        int prefillTokens,
        int promptTokens,
        int answerTokens) {}
