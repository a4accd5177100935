package org.whinwharf.pgm.internal;

import java.nio.charset.StandardCharsets;

/** What came of an HTTP request. */
public sealed interface HttpAnswer {
    /**
     * The other side answered.
     *
     * @param status HTTP status
     * @param body body of the answer
     */
    record Answered(int status, byte[] body) implements HttpAnswer {
        private static final int FIRST_ERROR = 300;

        /**
         * Tells whether the request was served.
         *
         * @return true for a status of the 200s
         */
        public boolean isOk() {
            return status < FIRST_ERROR;
        }

        /**
         * Returns the body as text.
         *
         * @return text in UTF-8
         */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * The other side did not answer.
     *
     * @param reason why, in words
     */
    record Unreachable(String reason) implements HttpAnswer {}
}
