package org.whinwharf.traffic.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.immutables.value.Value;
import org.whinwharf.traffic.target.PromptPart;

/** The requirements of a request that determine which targets can serve it and how long they take. */
@Value.Immutable
public interface Demand {
    /**
     * Returns the service that the request is for.
     *
     * @return name of the service
     */
    String service();

    /**
     * Returns the data centre that the request is sent from.
     *
     * @return name of the data centre of the sending process
     */
    String dataCentre();

    /**
     * Returns the model that the request requires.
     *
     * @return name of the model; empty if any target of the service is suitable
     */
    @Value.Default
    default String model() {
        return "";
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens; 0 for plain services
     */
    @Value.Default
    default long promptTokens() {
        return 0;
    }

    /**
     * Returns the maximum length of the answer.
     *
     * @return tokens; 0 for plain services
     */
    @Value.Default
    default long maxAnswerTokens() {
        return 0;
    }

    /**
     * Returns the caller's estimate of the length of the answer.
     *
     * @return tokens; empty if there is no estimate
     */
    OptionalLong estimatedAnswerTokens();

    /**
     * Returns the length of the answer that placement and queue order are based on.
     *
     * @return tokens; the maximum length if there is no estimate
     */
    default long expectedAnswerTokens() {
        return estimatedAnswerTokens().orElse(maxAnswerTokens());
    }

    /**
     * Returns the time left until the deadline of the request.
     *
     * @return time in milliseconds
     */
    @Value.Default
    default long remainingMillis() {
        return Long.MAX_VALUE;
    }

    /**
     * Returns the parts of the prompt.
     *
     * @return parts in order; empty for plain services
     */
    List<PromptPart> promptParts();

    /**
     * Returns the rank of the request.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns the targets that the request was already sent to.
     *
     * @return ids of the targets; none of them is selected again
     */
    Set<String> triedTargets();

    /**
     * Returns the software version that the request requires.
     *
     * @return version that began the stream that the request resumes; empty if any target is suitable
     */
    Optional<String> requiredVersion();

    /**
     * Returns whether a target may have crashed under the request.
     *
     * @return true if it must be sent where a further crash does least harm
     */
    @Value.Default
    default boolean suspect() {
        return false;
    }
}
