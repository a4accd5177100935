package org.whinwharf.runtime.command;

import java.net.BindException;
import java.net.SocketException;

/** Tells why a daemon could not start. */
final class StartFailure {
    private StartFailure() {}

    static ExitCode of(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException || cause instanceof SocketException) {
                return ExitCode.ADDRESS;
            }
        }
        return ExitCode.FAILED;
    }
}
