package org.whinwharf.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Decides whether a failed run is held against its target, or only shows that this process has lost its path to it.
 *
 * <p>Reports about a target take it out of use for the whole fleet. A process that loses its paths would otherwise take
 * all targets from the processes that still reach them. A connection that is reset or silent is therefore held against
 * the target only if a new direct connection to it can be established, or if nobody reaches it.
 */
final class FailureReview {
    /** What a failed run shows. */
    enum Verdict {
        /** This process reaches the target, so the target has failed. */
        TARGET_FAILED,
        /** The target cannot be reached. */
        TARGET_UNREACHABLE,
        /** Only the path of this process has failed; a peer reaches the target. */
        PATH_LOST,
        /** Nothing, since the run was relayed, or since no process that reaches targets can be asked. */
        UNKNOWN;

        /** Tells whether the failure is that of the target. */
        boolean concernsTarget() {
            return this == TARGET_FAILED || this == TARGET_UNREACHABLE;
        }
    }

    private final TargetRegistry targets;
    private final Map<String, List<Consumer<Verdict>>> pendingByTarget = new HashMap<>();

    FailureReview(TargetRegistry targets) {
        this.targets = targets;
    }

    /**
     * Ends a run that failed, and reports it as far as it says something about the target.
     *
     * @param concluded receives the verdict on a run whose failure may be that of the target or of the path
     */
    void runFailed(TargetRun run, TargetFailure failure, Consumer<Verdict> concluded) {
        run.failed();
        switch (failure.evidence()) {
            case TARGET -> {
                report(run, failure);
                if (failure.crashEvidence().isPresent()) {
                    review(run, concluded);
                }
            }
            case NONE -> {
                concluded.accept(Verdict.UNKNOWN);
                dismiss(run, failure);
            }
            default ->
                review(run, verdict -> {
                    concluded.accept(verdict);
                    switch (verdict) {
                        case TARGET_FAILED -> report(run, failure);
                        case TARGET_UNREACHABLE -> report(run, TargetFailure.UNREACHABLE);
                        default -> dismiss(run, failure);
                    }
                });
        }
    }

    /** Checks whether a target that has sent nothing for a while can be reached, and reports it if nobody does. */
    void checkSilentTarget(TargetRun run) {
        review(run, verdict -> {
            if (verdict == Verdict.TARGET_UNREACHABLE && !run.stalled()) {
                targets.recordFailure(run.entry(), TargetFailure.UNREACHABLE);
            }
        });
    }

    /** Calls back if a new direct connection to a silent target shows that it has not crashed. */
    void checkAlive(TargetRun run, Runnable alive) {
        review(run, verdict -> {
            if (verdict == Verdict.TARGET_FAILED) {
                alive.run();
            }
        });
    }

    /** Reports that a target has sent nothing for too long to any request of this process; the run goes on. */
    void targetSilent(TargetRun run) {
        long lastByteAtMillis = run.entry().lastByteAtMillis();
        review(run, verdict -> {
            if (run.entry().lastByteAtMillis() != lastByteAtMillis) {
                // The target has sent bytes during the review.
                return;
            }
            if (!verdict.concernsTarget()) {
                FrontLog.failureDismissed(run, TargetFailure.SILENT);
            } else if (!run.stalled()) {
                targets.recordFailure(run.entry(), TargetFailure.SILENT);
            }
        });
    }

    private void report(TargetRun run, TargetFailure failure) {
        run.reviewed(failure.event());
        targets.recordFailure(run.entry(), failure);
    }

    private void dismiss(TargetRun run, TargetFailure failure) {
        FrontLog.failureDismissed(run, failure);
        run.reviewed(RunEvent.RUN_GIVEN_UP);
    }

    private void review(TargetRun run, Consumer<Verdict> consumer) {
        String targetId = run.entry().state().target().id();
        if (run.relayed() || targets.paths().needsRelay(targetId)) {
            consumer.accept(Verdict.UNKNOWN);
            return;
        }
        List<Consumer<Verdict>> pending = pendingByTarget.computeIfAbsent(targetId, id -> new ArrayList<>());
        pending.add(consumer);
        if (pending.size() == 1) {
            run.entry().pool().connectAnew(result -> {
                Verdict verdict = verdict(result);
                if (verdict == Verdict.TARGET_UNREACHABLE) {
                    targets.crashed(run.entry());
                }
                conclude(targetId, verdict);
            });
        }
    }

    private static Verdict verdict(ConnectResult result) {
        return switch (result.status()) {
            case CONNECTED ->
                result.connection().orElseThrow().peerName().isEmpty() ? Verdict.TARGET_FAILED : Verdict.PATH_LOST;
            case UNREACHABLE -> Verdict.TARGET_UNREACHABLE;
            case NO_PATH -> Verdict.UNKNOWN;
        };
    }

    private void conclude(String targetId, Verdict verdict) {
        pendingByTarget.remove(targetId).forEach(consumer -> consumer.accept(verdict));
    }
}
