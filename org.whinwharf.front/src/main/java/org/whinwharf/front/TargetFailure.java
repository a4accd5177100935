package org.whinwharf.front;

import java.util.Locale;
import java.util.Optional;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.wire.fleet.RunEvent;

/** Reason why a target gave no complete response; the constants' names are written to the log. */
enum TargetFailure {
    /** No connection could be established, so the request was not sent. */
    UNREACHABLE(Evidence.TARGET, true, null, RunEvent.RUN_UNREACHABLE, TruncationCause.TARGET_LOST),
    /** The connection was closed in order, after the request was sent and before the end of the response. */
    CLOSED(Evidence.TARGET_OR_PATH, false, CrashEvidence.LOST, RunEvent.RUN_BROKEN, TruncationCause.TARGET_LOST),
    /** The connection was reset or failed otherwise, after the request was sent. */
    RESET(Evidence.TARGET_OR_PATH, false, CrashEvidence.LOST, RunEvent.RUN_BROKEN, TruncationCause.TARGET_LOST),
    /** The response ended where its framing allows, but its last event is incomplete. */
    TRUNCATED(Evidence.TARGET, false, CrashEvidence.POSSIBLE, RunEvent.RUN_BROKEN, TruncationCause.PART_OF_EVENT),
    /** The received bytes are not a valid response to the request. */
    GARBLED(Evidence.TARGET, false, null, RunEvent.RUN_BROKEN, TruncationCause.TARGET_LOST),
    /** Nothing was received for too long. */
    SILENT(Evidence.TARGET_OR_PATH, true, CrashEvidence.SILENT, RunEvent.RUN_SILENT, TruncationCause.TARGET_LOST),
    /** The connection to the peer that relayed the request was lost, perhaps together with the target. */
    RELAY_LOST(Evidence.NONE, false, CrashEvidence.LOST, RunEvent.RUN_GIVEN_UP, TruncationCause.TARGET_LOST);

    /** What a failure says about the target. */
    enum Evidence {
        /** The target has failed. */
        TARGET,
        /** Either the target has failed or only the path of this process to it. */
        TARGET_OR_PATH,
        /** Nothing. */
        NONE
    }

    private final Evidence evidence;
    private final boolean conclusive;
    /** Null if a crash does not make a run fail in this way. */
    private final CrashEvidence crashEvidence;

    private final RunEvent event;
    private final TruncationCause truncationCause;

    TargetFailure(
            Evidence evidence,
            boolean conclusive,
            CrashEvidence crashEvidence,
            RunEvent event,
            TruncationCause truncationCause) {
        this.evidence = evidence;
        this.conclusive = conclusive;
        this.crashEvidence = crashEvidence;
        this.event = event;
        this.truncationCause = truncationCause;
    }

    /** Tells what the failure says about the target. */
    Evidence evidence() {
        return evidence;
    }

    /** Tells whether a single such failure shows that the target is unusable. */
    boolean conclusive() {
        return conclusive;
    }

    /**
     * Returns what the failure says of a crash of the target; empty if a crash does not make a run fail in this way.
     */
    Optional<CrashEvidence> crashEvidence() {
        return Optional.ofNullable(crashEvidence);
    }

    /** Tells whether the response was cut short or cannot be read, unless none had begun. */
    boolean breaksOffResponse() {
        return event == RunEvent.RUN_BROKEN;
    }

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the event that is reported to the coordinator. */
    RunEvent event() {
        return event;
    }

    /** Returns the cause that is recorded when a stream can not go on after the failure. */
    TruncationCause truncationCause() {
        return truncationCause;
    }
}
