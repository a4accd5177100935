package org.whinwharf.front;

/** A caller's request is malformed. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong, for the log
     */
    public BadRequestException(String message) {
        super(message, null, false, false);
    }
}
