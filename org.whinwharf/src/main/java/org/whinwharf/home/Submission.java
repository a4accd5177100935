package org.whinwharf.home;

import java.util.List;
import java.util.Optional;
import org.immutables.value.Value;

/** Request as a caller submitted it, after its checks. */
@Value.Immutable
@Value.Style(build = "call", visibility = Value.Style.ImplementationVisibility.PACKAGE)
public interface Submission {
    /**
     * Starts the description of a request.
     *
     * @return a builder
     */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the ticket and number.
     *
     * @return both, or nothing for a request that is never repeated
     */
    Optional<TicketNumber> ticketNumber();

    /**
     * Returns the organisation by the caller's credential.
     *
     * @return name
     */
    String organisation();

    /**
     * Returns the organisation's share relative to others.
     *
     * @return weight
     */
    @Value.Default
    default int weight() {
        return 1;
    }

    /**
     * Returns the rank of the caller's tier.
     *
     * @return rank, the highest is served first
     */
    int tierRank();

    /**
     * Returns the service.
     *
     * @return name
     */
    String service();

    /**
     * Tells whether the service's targets are model engines.
     *
     * @return false for plain services
     */
    boolean isEngine();

    /**
     * Returns the model; engines only.
     *
     * @return name, empty for plain services
     */
    @Value.Default
    default String model() {
        return "";
    }

    /**
     * Returns the call; plain services only.
     *
     * @return name, empty for engines
     */
    @Value.Default
    default String callName() {
        return "";
    }

    /**
     * Tells whether a second run would do no harm.
     *
     * @return false for calls that may not be repeated
     */
    @Value.Default
    default boolean isIdempotent() {
        return true;
    }

    /**
     * Returns the prompt or the body of the call.
     *
     * @return text; never logged
     */
    @Value.Redacted
    String text();

    /**
     * Returns the bound on the answer's tokens; engines only.
     *
     * @return tokens
     */
    @Value.Default
    default int maxTokens() {
        return 0;
    }

    /**
     * Returns the tokens of the prompt.
     *
     * @return count
     */
    @Value.Default
    default int promptTokens() {
        return 0;
    }

    /**
     * Returns digests of the prompt's prefixes.
     *
     * @return digests, shortest first
     */
    List<Long> prefixes();

    /**
     * Returns the time left until the caller's deadline.
     *
     * @return milliseconds from the arrival
     */
    long leftMillis();

    /**
     * Returns a digest of all that makes the request this one and no other.
     *
     * @return digest
     */
    long contentDigest();

    /**
     * Returns the first token that the caller lacks.
     *
     * @return index, from 0
     */
    @Value.Default
    default int fromIndex() {
        return 0;
    }

    /** Describes a request. */
    class Builder extends ImmutableSubmission.Builder {}
}
