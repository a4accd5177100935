package org.whinwharf.owner.queue;

import java.util.List;
import org.whinwharf.owner.ProcessId;

/**
 * Request that waits for a grant in the queue of a slice.
 *
 * @param home process that holds the request
 * @param request id of the request at its home
 * @param rank rank of its tier; the highest rank is served first
 * @param organisation organisation that sent it
 * @param weight weight of the organisation within the tier
 * @param model requested model; empty when the request does not name one
 * @param promptTokens tokens of its prompt
 * @param answerTokens expected tokens of its answer
 * @param prefixes digests of the prompt's prefixes, shortest first
 * @param deadlineMillis time by which its answer must be complete, by the owner's monotonic clock
 * @param arrivedAtMillis time of its arrival at the owner, by the owner's monotonic clock
 */
public record WaitingRequest(
        ProcessId home,
        long request,
        int rank,
        String organisation,
        int weight,
        String model,
        int promptTokens,
        int answerTokens,
        List<Long> prefixes,
        long deadlineMillis,
        long arrivedAtMillis) {
    private static final int BASE_COST = 16;
    private static final int PROMPT_TOKENS_PER_COST = 8;

    /**
     * Returns the predicted cost of the request.
     *
     * @return cost in answer tokens; a prompt token counts as one eighth of an answer token
     */
    public int cost() {
        return BASE_COST + answerTokens + promptTokens / PROMPT_TOKENS_PER_COST;
    }

    /**
     * Returns the key that identifies the request.
     *
     * @return key
     */
    public Key key() {
        return new Key(home, request);
    }

    /**
     * Key that identifies a request.
     *
     * @param home home of the request
     * @param request id of the request at its home
     */
    public record Key(ProcessId home, long request) {}
}
