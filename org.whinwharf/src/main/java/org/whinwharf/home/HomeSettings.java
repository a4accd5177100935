package org.whinwharf.home;

import org.immutables.value.Value;

/** Limits and timeouts of a home. */
@Value.Immutable
@Value.Style(build = "call", visibility = Value.Style.ImplementationVisibility.PACKAGE)
public interface HomeSettings {
    /**
     * Creates a builder.
     *
     * @return a builder
     */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the name of this host.
     *
     * @return name
     */
    String host();

    /**
     * Returns the data centre of this host.
     *
     * @return name
     */
    String dataCentre();

    /**
     * Returns the random number that identifies this run of the process.
     *
     * @return incarnation
     */
    long incarnation();

    /**
     * Returns the maximum number of requests that wait or run at once.
     *
     * @return count
     */
    @Value.Default
    default int maxRequests() {
        return 4_096;
    }

    /**
     * Returns the maximum number of tickets whose request numbers are held.
     *
     * @return count
     */
    @Value.Default
    default int maxTickets() {
        return 8_192;
    }

    /**
     * Returns the maximum number of ended requests whose outcome is held.
     *
     * @return count
     */
    @Value.Default
    default int maxEndedRequests() {
        return 16_384;
    }

    /**
     * Returns how long a request continues after its last caller disconnected. The caller may rejoin it with its ticket
     * in that time.
     *
     * @return milliseconds
     */
    @Value.Default
    default long rejoinGraceMillis() {
        return 2_000;
    }

    /**
     * Returns the interval between two attempts to find a connected owner for a request.
     *
     * @return milliseconds
     */
    @Value.Default
    default long placementRetryIntervalMillis() {
        return 50;
    }

    /**
     * Returns how long a request waits at one owner before the home looks for a better slice, and the interval between
     * further checks.
     *
     * @return milliseconds
     */
    @Value.Default
    default long reconsiderIntervalMillis() {
        return 500;
    }

    /**
     * Returns the Retry-After delay for rejections without a delay from an owner.
     *
     * @return milliseconds
     */
    @Value.Default
    default long defaultRetryAfterMillis() {
        return 1_000;
    }

    /**
     * Returns the maximum number of consecutive attempts to resume a broken stream that yield no new token. Attempts at
     * a target that is silent do not count.
     *
     * @return count
     */
    @Value.Default
    default int maxResumeAttempts() {
        return 6;
    }

    /**
     * Returns the backoff before the second attempt to resume a stream; it doubles with each further attempt.
     *
     * @return milliseconds
     */
    @Value.Default
    default long resumeBackoffMillis() {
        return 50;
    }

    /** Builds the settings. */
    class Builder extends ImmutableHomeSettings.Builder {}
}
