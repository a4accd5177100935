package org.whinwharf.platform.fleet;

import java.util.concurrent.TimeUnit;

/**
 * One orderly stop of a front.
 *
 * @param frontName name of the front
 * @param frontIp address of the front
 * @param atNanos time of the first SIGTERM
 * @param exitedNanos time at which the process was gone
 */
record FrontStop(String frontName, String frontIp, long atNanos, long exitedNanos) {
    /** Time that the platform leaves a process to stop. */
    static final long GRACE_MILLIS = TimeUnit.SECONDS.toMillis(FrontProcess.GRACE_SECONDS);

    /** Returns the time from the SIGTERM to a moment. */
    long millisUntil(long momentNanos) {
        return TimeUnit.NANOSECONDS.toMillis(momentNanos - atNanos);
    }

    /** Returns the time that the process took. */
    long millis() {
        return millisUntil(exitedNanos);
    }
}
