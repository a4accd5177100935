package org.whinwharf.bench.internal;

/** Answer whose status is an error. */
final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final int status;
    private final String body;

    RefusedException(int status, String body) {
        super("status " + status, null, false, false);
        this.status = status;
        this.body = body;
    }

    int status() {
        return status;
    }

    String body() {
        return body;
    }
}
