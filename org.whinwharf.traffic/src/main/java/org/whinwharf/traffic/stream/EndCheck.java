package org.whinwharf.traffic.stream;

import org.immutables.value.Value;

/** What was found out of the undeclared end of one stream. */
@Value.Immutable
public interface EndCheck {
    /**
     * Returns the random number by which the check is recognised when several processes report it.
     *
     * @return id
     */
    long id();

    /**
     * Tells whether the stream was cut.
     *
     * @return true if events were to follow; false if the stream was whole
     */
    boolean cut();

    /**
     * Returns when it was found out.
     *
     * @return monotonic time of this process in milliseconds
     */
    long checkedAtMillis();
}
