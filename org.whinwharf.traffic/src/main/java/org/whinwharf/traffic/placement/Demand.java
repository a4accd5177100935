package org.whinwharf.traffic.placement;

import java.util.List;
import java.util.Set;
import org.immutables.value.Value;
import org.whinwharf.traffic.target.PromptPart;

/** What a request asks of a target. */
@Value.Immutable
public interface Demand {
    /**
     * Returns the service that takes the request.
     *
     * @return name of the service
     */
    String service();

    /**
     * Returns where the request comes from.
     *
     * @return name of the data centre of the process that sends it
     */
    String dataCentre();

    /**
     * Returns the model it needs.
     *
     * @return name; empty when any target of the service will do
     */
    @Value.Default
    default String model() {
        return "";
    }

    /**
     * Returns the length of its prompt.
     *
     * @return tokens; 0 for plain services
     */
    @Value.Default
    default long promptTokens() {
        return 0;
    }

    /**
     * Returns the bound on its answer's length.
     *
     * @return tokens; 0 for plain services
     */
    @Value.Default
    default long maxAnswerTokens() {
        return 0;
    }

    /**
     * Returns the time left until its final answer is due.
     *
     * @return time in milliseconds
     */
    @Value.Default
    default long remainingMillis() {
        return Long.MAX_VALUE;
    }

    /**
     * Returns the parts of its prompt.
     *
     * @return parts, in order; empty for plain services
     */
    List<PromptPart> promptParts();

    /**
     * Returns its rank.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns the targets that it was sent to before.
     *
     * @return ids of targets
     */
    Set<String> triedTargets();
}
