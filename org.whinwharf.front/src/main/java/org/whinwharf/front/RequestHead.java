package org.whinwharf.front;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.immutables.value.Value;
import org.whinwharf.traffic.target.PromptPart;

/** What the head of a caller's request says. */
@Value.Immutable
public interface RequestHead {
    /**
     * Returns the id of this attempt.
     *
     * @return id that the caller chose; a repeat has another
     */
    String attemptId();

    /**
     * Returns the host name that the caller asked for.
     *
     * @return name, with or without port
     */
    String authority();

    /**
     * Returns the path without query.
     *
     * @return path that begins with a slash
     */
    String path();

    /**
     * Returns how long the caller waits.
     *
     * @return time in milliseconds; empty when it does not say
     */
    OptionalLong timeoutMillis();

    /**
     * Returns the key that the caller shows.
     *
     * @return key; a secret, never logged
     */
    @Value.Redacted
    Optional<String> apiKey();

    /**
     * Returns the model that the request needs.
     *
     * @return name; empty for plain services
     */
    String model();

    /**
     * Returns the length of the prompt.
     *
     * @return tokens; 0 for plain services
     */
    long promptTokens();

    /**
     * Returns the bound on the answer's length.
     *
     * @return tokens; 0 for plain services
     */
    long answerTokens();

    /**
     * Tells whether the request names its token counts.
     *
     * @return true when it does
     */
    boolean hasTokenCounts();

    /**
     * Returns the parts of the prompt.
     *
     * @return parts, in order; empty when the caller names none
     */
    List<PromptPart> promptParts();

    /**
     * Returns the event after which the caller resumes a stream.
     *
     * @return id of the last event it has; empty for a new stream
     */
    Optional<String> lastEventId();
}
