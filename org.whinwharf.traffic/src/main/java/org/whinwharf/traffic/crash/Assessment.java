package org.whinwharf.traffic.crash;

import java.util.Comparator;

/**
 * Whether a request may be sent to a target, as far as crashes of earlier targets are concerned.
 *
 * @param status whether and how it may be sent
 * @param subject what the crashes are held against: the request's content, or a part that other requests share;
 *     {@link Fingerprint#NONE} if it is clean
 * @param crashes number of runs, one after the other, that were lost with their targets as far as is known
 * @param retryAfterMillis time until a quarantined request may be sent again, in milliseconds; 0 for others
 * @param settlesAtMillis monotonic time in milliseconds at which all processes know of the last lost run; 0 without one
 */
public record Assessment(Status status, Fingerprint subject, int crashes, long retryAfterMillis, long settlesAtMillis) {
    /** Assessment of a request without lost runs. */
    public static final Assessment CLEAN = new Assessment(Status.CLEAN, Fingerprint.NONE, 0, 0, 0);

    /** The later parts make the order the same in all processes. */
    private static final Comparator<Assessment> BY_SEVERITY = Comparator.comparing(Assessment::status)
            .thenComparingInt(Assessment::crashes)
            .thenComparingLong(assessment -> assessment.subject().bits());

    /** Whether and how a request may be sent. */
    public enum Status {
        /** No target is known to have crashed under the request. */
        CLEAN,
        /** One of several targets that crashed together ran the request, which is probably not to blame. */
        WEAK_SUSPECT,
        /** A target may have crashed under the request; it is sent where it can do least harm. */
        SUSPECT,
        /** Too many targets have crashed under the request; it is not sent. */
        QUARANTINED
    }

    /**
     * Returns the more severe of this and another assessment of the same request.
     *
     * @param other other assessment
     * @return one of both
     */
    public Assessment orWorse(Assessment other) {
        return BY_SEVERITY.compare(other, this) > 0 ? other : this;
    }

    /**
     * Tells whether the request must not be sent.
     *
     * @return true if it is quarantined
     */
    public boolean quarantined() {
        return status == Status.QUARANTINED;
    }

    /**
     * Tells whether any target may have crashed under the request.
     *
     * @return true if it is a suspect, weak or not, or quarantined
     */
    public boolean suspect() {
        return status != Status.CLEAN;
    }

    /**
     * Tells whether the request needs a target without other suspects.
     *
     * @return true if it is more than a weak suspect
     */
    public boolean strongSuspect() {
        return status.compareTo(Status.WEAK_SUSPECT) > 0;
    }
}
