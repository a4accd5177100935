package org.whinwharf.traffic.rate;

import org.immutables.value.Value;

/** What one answer of a target said of the requests per second that the target takes, as processes pass it on. */
@Value.Immutable
public interface StatedRate {
    /**
     * Returns the random number of the statement, by which it is recognised when several peers pass it on.
     *
     * @return number, unique among all statements
     */
    long id();

    /**
     * Returns the id of the target.
     *
     * @return id
     */
    String targetId();

    /**
     * Returns the name of the target's service.
     *
     * @return name
     */
    String service();

    /**
     * Returns what the target said; never unreadable.
     *
     * @return statement
     */
    RateStatement statement();

    /**
     * Returns when the answer was received.
     *
     * @return monotonic time in milliseconds
     */
    long statedAtMillis();
}
