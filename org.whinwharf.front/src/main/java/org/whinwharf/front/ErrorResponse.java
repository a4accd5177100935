package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.coordination.RejectionDetails;

/**
 * A failure that a caller is told.
 *
 * @param kind what went wrong; it fixes the status and whether the request may have run
 * @param retryAfterMillis when to come back, in milliseconds; 0 for no advice
 * @param grounds what a coordinator based it on; empty when none decided
 */
record ErrorResponse(ErrorKind kind, long retryAfterMillis, Optional<RejectionDetails> grounds) {
    ErrorResponse(ErrorKind kind, long comeBackMillis) {
        this(kind, comeBackMillis, Optional.empty());
    }
}
