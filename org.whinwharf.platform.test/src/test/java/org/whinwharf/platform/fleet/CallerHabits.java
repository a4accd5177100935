package org.whinwharf.platform.fleet;

import java.util.List;

/**
 * How a caller sends its requests.
 *
 * @param keepsConnection whether it uses a connection for many requests
 * @param kinds kinds of its requests, of which each is as frequent as the others
 * @param maxPauseMillis bound of the time between two requests
 * @param leftInterval one of so many attempts ends early by the caller; none if 0
 * @param timeoutMillis time limit of each attempt
 * @param maxRunMillis bound of the time that its requests ask their workers to take; 0 if the workers draw it
 * @param slowBodyInterval one of so many bodies is sent slowly; none if 0
 * @param slowlyReadLines lines of its answers, which it reads slowly; 0 if the workers draw them
 */
record CallerHabits(
        boolean keepsConnection,
        List<AttemptKind> kinds,
        int maxPauseMillis,
        int leftInterval,
        int timeoutMillis,
        int maxRunMillis,
        int slowBodyInterval,
        int slowlyReadLines) {
    /** Returns a builder with the usual habits: a kept connection, short pauses, and requests of all kinds. */
    static Builder builder() {
        return new Builder();
    }

    /** Builds habits. */
    static final class Builder {
        private boolean keepsConnection = true;
        private List<AttemptKind> kinds = List.of(AttemptKind.values());
        private int maxPauseMillis = 30;
        private int leftInterval = 25;
        private int timeoutMillis = AttemptKind.TIMEOUT_MILLIS;
        private int maxRunMillis;
        private int slowBodyInterval;
        private int slowlyReadLines;

        private Builder() {}

        Builder keepsConnection(boolean value) {
            keepsConnection = value;
            return this;
        }

        Builder kinds(AttemptKind... values) {
            kinds = List.of(values);
            return this;
        }

        Builder maxPauseMillis(int value) {
            maxPauseMillis = value;
            return this;
        }

        Builder leftInterval(int value) {
            leftInterval = value;
            return this;
        }

        Builder timeoutMillis(int value) {
            timeoutMillis = value;
            return this;
        }

        Builder maxRunMillis(int value) {
            maxRunMillis = value;
            return this;
        }

        Builder slowBodyInterval(int value) {
            slowBodyInterval = value;
            return this;
        }

        Builder slowlyReadLines(int value) {
            slowlyReadLines = value;
            return this;
        }

        CallerHabits build() {
            return new CallerHabits(
                    keepsConnection,
                    kinds,
                    maxPauseMillis,
                    leftInterval,
                    timeoutMillis,
                    maxRunMillis,
                    slowBodyInterval,
                    slowlyReadLines);
        }
    }
}
