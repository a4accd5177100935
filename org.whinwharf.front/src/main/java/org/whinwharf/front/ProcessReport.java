package org.whinwharf.front;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Set;

/** What the report of a target shows of the process that serves its address. */
enum ProcessReport {
    /** It is the process that the target's entry names. */
    PUBLISHED(false),
    /** It is another process, which is not published yet. */
    OTHER(false),
    /** The report states no process. */
    UNREADABLE(true),
    /** The target has no reports. */
    NONE(true),
    /** The target answered with an error, which does not show whether it has reports. */
    REFUSED(false),
    /** There was no report in time. */
    UNANSWERED(false);

    private static final Set<HttpResponseStatus> WITHOUT_REPORTS =
            Set.of(HttpResponseStatus.NOT_FOUND, HttpResponseStatus.METHOD_NOT_ALLOWED);

    private final boolean statesNoProcess;

    ProcessReport(boolean statesNoProcess) {
        this.statesNoProcess = statesNoProcess;
    }

    /** Returns what a status other than 200 shows. */
    static ProcessReport ofError(int status) {
        return WITHOUT_REPORTS.contains(HttpResponseStatus.valueOf(status)) ? NONE : REFUSED;
    }

    /** Tells whether the target has answered without saying which process it is. */
    boolean statesNoProcess() {
        return statesNoProcess;
    }

    /** Returns the name in logs and metrics. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
