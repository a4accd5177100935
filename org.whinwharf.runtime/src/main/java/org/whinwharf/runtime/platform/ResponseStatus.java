package org.whinwharf.runtime.platform;

/**
 * Checks of a status as Micronaut's client reports it.
 *
 * <p>The client takes any number for a status, and an informational response for the final one unless it is 100.
 */
public final class ResponseStatus {
    private static final int SUCCESS_CLASS = 2;
    private static final int MIN_FINAL = 200;
    private static final int MAX_FINAL = 599;

    private ResponseStatus() {}

    /**
     * Tells whether a status is that of a final response; any other tells nothing of its request.
     *
     * @param status reported status
     * @return true from 200 to 599
     */
    public static boolean isFinal(int status) {
        return status >= MIN_FINAL && status <= MAX_FINAL;
    }

    /**
     * Tells whether a status is that of a success.
     *
     * @param status reported status
     * @return true from 200 to 299
     */
    public static boolean isSuccess(int status) {
        return status / 100 == SUCCESS_CLASS;
    }
}
