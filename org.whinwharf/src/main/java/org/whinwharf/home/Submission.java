package org.whinwharf.home;

import java.util.List;
import java.util.Optional;
import org.immutables.value.Value;

/** Validated request as a caller submitted it. */
@Value.Immutable
@Value.Style(build = "call", visibility = Value.Style.ImplementationVisibility.PACKAGE)
public interface Submission {
    /**
     * Creates a builder.
     *
     * @return a builder
     */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the ticket and number of the request.
     *
     * @return both; empty for a request without a ticket, which is never repeated
     */
    Optional<TicketNumber> ticketNumber();

    /**
     * Returns the organisation that the caller's credential belongs to.
     *
     * @return name
     */
    String organisation();

    /**
     * Returns the organisation's share relative to other organisations.
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
     * @return rank; the highest rank is served first
     */
    int tierRank();

    /**
     * Returns the service that the request is for.
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
     * Returns the model (engines only).
     *
     * @return name, empty for plain services
     */
    @Value.Default
    default String model() {
        return "";
    }

    /**
     * Returns the name of the call (plain services only).
     *
     * @return name, empty for engines
     */
    @Value.Default
    default String callName() {
        return "";
    }

    /**
     * Tells whether the request may safely run a second time.
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
     * Returns the maximum number of tokens in the answer (engines only).
     *
     * @return tokens
     */
    @Value.Default
    default int maxTokens() {
        return 0;
    }

    /**
     * Returns the number of tokens in the prompt.
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
     * Returns a digest of the request's content, which tells a repeated submission from a reused ticket number.
     *
     * @return digest
     */
    long contentDigest();

    /**
     * Returns the index of the first token that the caller has not received.
     *
     * @return index, from 0
     */
    @Value.Default
    default int fromIndex() {
        return 0;
    }

    /** Builds a submission. */
    class Builder extends ImmutableSubmission.Builder {}
}
