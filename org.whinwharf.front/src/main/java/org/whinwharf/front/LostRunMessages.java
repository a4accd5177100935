package org.whinwharf.front;

import java.util.OptionalLong;
import java.util.Set;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.ImmutableLostRun;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.wire.fleet.LostRunReport;
import org.whinwharf.wire.fleet.PartServingReport;
import org.whinwharf.wire.fleet.RunEvidence;

/** Converts lost runs to and from the messages between fronts. */
final class LostRunMessages {
    private LostRunMessages() {}

    /**
     * Returns the message about a run; its times are relative to now.
     *
     * @param unservedParts those of its shared parts that are still held against it
     */
    static LostRunReport toReport(LostRun run, Set<Fingerprint> unservedParts, long nowMillis) {
        LostRunReport.Builder report = LostRunReport.newBuilder();
        unservedParts.forEach(part -> report.addSharedParts(part.bits()));
        run.originSentMillis().ifPresent(report::setOriginSentMillis);
        return report.setRun(run.id())
                .setFingerprint(run.fingerprint().bits())
                .setTarget(run.targetId())
                .setSentAgeMillis(ageMillis(run.sentAtMillis(), nowMillis))
                .setEndedAgeMillis(ageMillis(run.endedAtMillis(), nowMillis))
                .setEvidence(toWire(run.evidence()))
                .build();
    }

    private static int ageMillis(long atMillis, long nowMillis) {
        return (int) Math.max(0, nowMillis - atMillis);
    }

    static LostRun fromReport(LostRunReport report, long nowMillis) {
        return ImmutableLostRun.builder()
                .id(report.getRun())
                .fingerprint(new Fingerprint(report.getFingerprint()))
                .sharedParts(report.getSharedPartsList().stream()
                        .map(Fingerprint::new)
                        .toList())
                .targetId(report.getTarget())
                .sentAtMillis(nowMillis - Integer.toUnsignedLong(report.getSentAgeMillis()))
                .originSentMillis(
                        report.hasOriginSentMillis()
                                ? OptionalLong.of(report.getOriginSentMillis())
                                : OptionalLong.empty())
                .endedAtMillis(nowMillis - Integer.toUnsignedLong(report.getEndedAgeMillis()))
                .evidence(fromWire(report.getEvidence()))
                .build();
    }

    static PartServingReport toReport(Fingerprint part, long servedAtMillis, long nowMillis) {
        return PartServingReport.newBuilder()
                .setPart(part.bits())
                .setAgeMillis(ageMillis(servedAtMillis, nowMillis))
                .build();
    }

    private static RunEvidence toWire(CrashEvidence evidence) {
        return switch (evidence) {
            case POSSIBLE -> RunEvidence.EVIDENCE_POSSIBLE;
            case SILENT -> RunEvidence.EVIDENCE_SILENT;
            case LOST -> RunEvidence.EVIDENCE_LOST;
            case CRASHED -> RunEvidence.EVIDENCE_CRASHED;
            case CLEARED -> RunEvidence.EVIDENCE_CLEARED;
        };
    }

    private static CrashEvidence fromWire(RunEvidence evidence) {
        return switch (evidence) {
            case EVIDENCE_POSSIBLE -> CrashEvidence.POSSIBLE;
            case EVIDENCE_SILENT -> CrashEvidence.SILENT;
            case EVIDENCE_LOST -> CrashEvidence.LOST;
            case EVIDENCE_CRASHED -> CrashEvidence.CRASHED;
            // A newer front knows more, but not that the target crashed.
            case EVIDENCE_CLEARED, UNRECOGNIZED -> CrashEvidence.CLEARED;
        };
    }
}
