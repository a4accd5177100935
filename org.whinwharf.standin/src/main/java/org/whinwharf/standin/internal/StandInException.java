package org.whinwharf.standin.internal;

import io.micronaut.http.HttpStatus;

/** Ends a route with a status and the body {@code {"error": NAME}}. */
final class StandInException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final HttpStatus status;

    StandInException(HttpStatus status, String error) {
        super(error, null, false, false);
        this.status = status;
    }

    HttpStatus status() {
        return status;
    }
}
