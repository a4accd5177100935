package org.whinwharf.home;

/**
 * Times and token counts of an ended request.
 *
 * @param waitedMillis from the arrival to the dispatch, or to the end of a request that was not sent
 * @param firstTokenMillis from the dispatch to the first token; 0 when none arrived
 * @param totalMillis from the dispatch to the end; 0 when the request was not sent
 * @param prefillTokens prompt tokens that were not in the target's cache
 * @param promptTokens total prompt tokens: the larger of the home's and the target's count
 * @param answerTokens tokens of the answer
 */
public record RequestTimes(
        long waitedMillis,
        long firstTokenMillis,
        long totalMillis,
        int prefillTokens,
        int promptTokens,
        int answerTokens) {}
