package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.LostRun;

/** Records the runs that requests lose, with what their failures and the reviews say of crashes of the targets. */
final class LostRunRecorder {
    /** Silence after which a target may have crashed under a request that ends. */
    private static final long ABANDONED_SILENCE_MILLIS = 300;
    /** Minimum time in which a target that crashed can be reached again. */
    private static final long MIN_RESTART_MILLIS = 30;

    private final Front front;

    LostRunRecorder(Front front) {
        this.front = front;
    }

    /** Records a run that failed, if a crash may be the reason, and has it reviewed. */
    void runFailed(CallerExchange exchange, TargetRun run, TargetFailure failure) {
        Optional<CrashEvidence> evidence = evidence(run, failure);
        if (evidence.isEmpty()) {
            front.failureReview().runFailed(run, failure, verdict -> {});
            return;
        }
        LostRun lost = front.crashes().runLost(exchange, run, evidence.get());
        front.failureReview().runFailed(run, failure, verdict -> {
            FrontLog.runLost(exchange, run, failure, verdict);
            reviewed(lost, verdict);
        });
    }

    /**
     * Records that a target may have crashed under a request, since it is silent; the run goes on.
     *
     * @return the record; empty if the target's silence is not held against the request
     */
    Optional<LostRun> runSilent(CallerExchange exchange, TargetRun run) {
        return evidence(run, TargetFailure.SILENT)
                .map(evidence -> front.crashes().runLost(exchange, run, evidence));
    }

    private Optional<CrashEvidence> evidence(TargetRun run, TargetFailure failure) {
        TargetEntry entry = run.entry();
        if (front.isOut(entry)) {
            return Optional.empty();
        }
        if (failure.crashEvidence().isPresent() && entry.crashedSince(run.sentAtMillis())) {
            return Optional.of(CrashEvidence.CRASHED);
        }
        boolean silentPath = failure == TargetFailure.SILENT && !run.relayed() && front.pathLost(entry);
        return silentPath ? Optional.of(CrashEvidence.POSSIBLE) : failure.crashEvidence();
    }

    private void reviewed(LostRun lost, FailureReview.Verdict verdict) {
        boolean reviewedAtOnce = front.nowMillis() - lost.endedAtMillis() < MIN_RESTART_MILLIS;
        if (verdict == FailureReview.Verdict.PATH_LOST && reviewedAtOnce) {
            front.crashes().pathLost(lost);
        }
    }

    /** Records a run whose request ends while the target is silent, since the target may be found to have crashed. */
    void runAbandoned(CallerExchange exchange, TargetRun run, long silentMillis) {
        if (silentMillis > ABANDONED_SILENCE_MILLIS) {
            boolean crashed = run.entry().crashedSince(run.sentAtMillis());
            front.crashes().runLost(exchange, run, crashed ? CrashEvidence.CRASHED : CrashEvidence.POSSIBLE);
        }
    }
}
