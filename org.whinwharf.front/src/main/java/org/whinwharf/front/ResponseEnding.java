package org.whinwharf.front;

import org.immutables.value.Value;

/** How a target's response ended, for logs and metrics. */
@Value.Immutable
interface ResponseEnding {
    /** Cause of a response that this process takes for complete. */
    String COMPLETE = "complete";

    /** Returns the framing that the head of the response declares. */
    BodyFraming framing();

    /** Returns what ended the response: {@link #COMPLETE} or the tag of a failure. */
    String cause();

    /** Returns whether the response is an event stream that ended inside an event. */
    boolean insideEvent();
}
