package org.whinwharf.front;

import java.util.OptionalInt;
import java.util.OptionalLong;
import org.immutables.value.Value;
import org.whinwharf.traffic.rate.RateStatement;

/** Parsed head of a target's response. */
@Value.Immutable
public interface ResponseHead {
    /**
     * Returns the HTTP status.
     *
     * @return status code
     */
    int status();

    /**
     * Returns the id of the attempt to which the target responds.
     *
     * @return id; empty string when the response carries none
     */
    String attemptId();

    /**
     * Returns whether the target reports that it did not execute the request.
     *
     * @return true when the request may be sent to another target, even if it is not idempotent
     */
    boolean notExecuted();

    /**
     * Returns whether a target other than the expected one responded.
     *
     * @return true when the address now belongs to another target
     */
    boolean wrongTarget();

    /**
     * Returns whether the response carries the target's signature.
     *
     * @return true when signed; an unsigned success does not originate from the target
     */
    boolean signed();

    /**
     * Returns the number of requests per second that the targets of the service can reject; beyond it they crash.
     *
     * @return rejections per second at one target; empty while there is no such limit
     */
    OptionalInt rejectionLimitPerSecond();

    /**
     * Returns what the target says of the requests per second that it takes from all processes together.
     *
     * @return statement; none by default
     */
    @Value.Default
    default RateStatement rateStatement() {
        return RateStatement.NONE;
    }

    /**
     * Returns how long the target keeps an idle connection open.
     *
     * @return time in milliseconds; empty when the target does not specify it
     */
    OptionalLong keepAliveMillis();
}
