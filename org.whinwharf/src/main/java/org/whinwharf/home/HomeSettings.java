package org.whinwharf.home;

import org.immutables.value.Value;

/** Bounds and waits of a home. */
@Value.Immutable
@Value.Style(build = "call", visibility = Value.Style.ImplementationVisibility.PACKAGE)
public interface HomeSettings {
    /**
     * Starts the description.
     *
     * @return a builder
     */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Returns this host.
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
     * Returns the random number drawn at this start.
     *
     * @return incarnation
     */
    long incarnation();

    /**
     * Returns the most requests that wait or run at once.
     *
     * @return count
     */
    @Value.Default
    default int maxRequests() {
        return 4_096;
    }

    /**
     * Returns the most tickets whose numbers are held.
     *
     * @return count
     */
    @Value.Default
    default int maxTickets() {
        return 8_192;
    }

    /**
     * Returns the most ended requests whose outcome is held.
     *
     * @return count
     */
    @Value.Default
    default int maxEndedRequests() {
        return 16_384;
    }

    /**
     * Returns how long work goes on for a caller that went away and may come back under its ticket.
     *
     * @return milliseconds
     */
    @Value.Default
    default long rejoinGraceMillis() {
        return 2_000;
    }

    /**
     * Returns the time between two attempts to find an owner for a request.
     *
     * @return milliseconds
     */
    @Value.Default
    default long placementRetryIntervalMillis() {
        return 50;
    }

    /**
     * Returns how long a request waits at one owner before the home looks for room elsewhere.
     *
     * @return milliseconds
     */
    @Value.Default
    default long reconsiderIntervalMillis() {
        return 500;
    }

    /**
     * Returns when callers are told to come back where no owner said better.
     *
     * @return milliseconds
     */
    @Value.Default
    default long defaultRetryAfterMillis() {
        return 1_000;
    }

    /**
     * Returns the most attempts in a row to resume a stream without a new token.
     *
     * @return count
     */
    @Value.Default
    default int maxResumeAttempts() {
        return 6;
    }

    /**
     * Returns the wait before the second attempt to resume; it doubles with each further one.
     *
     * @return milliseconds
     */
    @Value.Default
    default long resumeBackoffMillis() {
        return 50;
    }

    /** Describes the settings. */
    class Builder extends ImmutableHomeSettings.Builder {}
}
