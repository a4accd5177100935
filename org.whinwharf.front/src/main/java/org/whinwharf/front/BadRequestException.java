package org.whinwharf.front;

/** Thrown when a caller's request is malformed. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the error, for the log
     */
    public BadRequestException(String message) {
        super(message, null, false, false);
    }
}
