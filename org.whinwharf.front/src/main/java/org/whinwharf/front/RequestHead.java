package org.whinwharf.front;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.immutables.value.Value;
import org.whinwharf.traffic.target.PromptPart;

/** Parsed head of a caller's request. */
@Value.Immutable
public interface RequestHead {
    /**
     * Returns the id of the attempt.
     *
     * @return id chosen by the caller; a retry has another id
     */
    String attemptId();

    /**
     * Returns the authority that the caller requested.
     *
     * @return host name, with or without a port
     */
    String authority();

    /**
     * Returns the path without the query.
     *
     * @return path, starting with a slash
     */
    String path();

    /**
     * Returns how long the caller waits for the response.
     *
     * @return time in milliseconds; empty when the caller does not specify it
     */
    OptionalLong timeoutMillis();

    /**
     * Returns the API key of the caller.
     *
     * @return key; a secret that is never logged
     */
    @Value.Redacted
    Optional<String> apiKey();

    /**
     * Returns the model that the request requires.
     *
     * @return name of the model; empty for plain services
     */
    String model();

    /**
     * Returns the length of the prompt.
     *
     * @return tokens; 0 for plain services
     */
    long promptTokens();

    /**
     * Returns the maximum length of the response.
     *
     * @return tokens; 0 for plain services
     */
    long maxAnswerTokens();

    /**
     * Returns the caller's estimate of the length of the response.
     *
     * @return tokens, accurate at the median; empty when the caller gives no estimate
     */
    OptionalLong estimatedAnswerTokens();

    /**
     * Returns whether the request specifies its token counts.
     *
     * @return true when the request carries them
     */
    boolean hasTokenCounts();

    /**
     * Returns the parts of the prompt.
     *
     * @return parts, in order; empty when the caller specifies none
     */
    List<PromptPart> promptParts();

    /**
     * Returns the id of the event after which the caller resumes a stream.
     *
     * @return id of the last event that the caller received; empty for a new stream
     */
    Optional<String> lastEventId();

    /**
     * Returns the attempt whose stream the caller resumes.
     *
     * @return id of the attempt that brought the first event of the stream; empty when the caller names none
     */
    Optional<String> resumedAttemptId();
}
