package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.coordination.RejectionDetails;

/**
 * An error response to a caller.
 *
 * @param kind kind of the error; determines the HTTP status and whether the request may have been executed
 * @param retryAfterMillis Retry-After delay in milliseconds; 0 when the response carries none
 * @param rejectionDetails state on which the coordinator based a rejection; empty when no coordinator decided
 */
record ErrorResponse(ErrorKind kind, long retryAfterMillis, Optional<RejectionDetails> rejectionDetails) {
    ErrorResponse(ErrorKind kind, long retryAfterMillis) {
        this(kind, retryAfterMillis, Optional.empty());
    }
}
