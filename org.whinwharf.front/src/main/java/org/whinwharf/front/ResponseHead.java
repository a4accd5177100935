package org.whinwharf.front;

import java.util.OptionalLong;
import org.immutables.value.Value;

/** What the head of a target's answer says. */
@Value.Immutable
public interface ResponseHead {
    /**
     * Returns the HTTP status.
     *
     * @return status code
     */
    int status();

    /**
     * Returns the id of the attempt that is answered.
     *
     * @return id; empty text when the answer names none
     */
    String attemptId();

    /**
     * Tells whether the target says that it did not run the request.
     *
     * @return true when the request may be sent elsewhere, whatever its kind
     */
    boolean notExecuted();

    /**
     * Tells whether another target than the expected one answered.
     *
     * @return true when the address now belongs to another target
     */
    boolean wrongTarget();

    /**
     * Tells whether the answer bears the target's signature.
     *
     * @return true when it does; a success without one is not the target's
     */
    boolean signed();

    /**
     * Returns how long the target keeps the idle connection.
     *
     * @return time in milliseconds; empty when it does not say
     */
    OptionalLong keepAliveMillis();
}
