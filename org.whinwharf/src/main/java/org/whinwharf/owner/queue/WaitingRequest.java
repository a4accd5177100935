package org.whinwharf.owner.queue;

import java.util.List;
import org.whinwharf.owner.ProcessId;

/**
 * Request that waits for a grant.
 *
 * @param home process that holds the request
 * @param request the request's id at its home
 * @param rank rank of its tier; the highest is served first
 * @param organisation organisation that sent it
 * @param weight share of the organisation inside the tier
 * @param model model that it asks for; empty when it names none
 * @param promptTokens tokens of its prompt
 * @param answerTokens tokens expected of its answer
 * @param prefixes digests of the prompt's prefixes, shortest first
 * @param deadlineMillis instant by which its answer must be whole, by the owner's clock
 * @param arrivedAtMillis when it came to the owner
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
     * Returns the predicted cost.
     *
     * @return cost in answer tokens; prefill counts an eighth
     */
    public int cost() {
        return BASE_COST + answerTokens + promptTokens / PROMPT_TOKENS_PER_COST;
    }

    /**
     * Returns what identifies the request.
     *
     * @return key
     */
    public Key key() {
        return new Key(home, request);
    }

    /**
     * Identity of a request.
     *
     * @param home its home
     * @param request its id there
     */
    public record Key(ProcessId home, long request) {}
}
