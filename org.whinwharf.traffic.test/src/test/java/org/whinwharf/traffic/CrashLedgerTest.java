package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.CrashLedger;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.ImmutableLostRun;
import org.whinwharf.traffic.crash.LostRun;

class CrashLedgerTest {
    private static final Fingerprint REQUEST = fingerprint("request");
    /** More than the time for which a crash is held against its request. */
    private static final long FORGOTTEN_MILLIS = 700_000;

    private CrashLedger ledger = new CrashLedger();
    private long nextId;

    @Test
    void requestWithoutLostRunsIsClean() {
        lose(fingerprint("other"), "a", 0, 10, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 20), is(Assessment.Status.CLEAN));
    }

    /** Guards against sending a request on after two targets crashed under it, one after the other. */
    @Test
    void twoLoneCrashesQuarantine() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 20), is(Assessment.Status.SUSPECT));
        lose(REQUEST, "b", 50, 60, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 70), is(Assessment.Status.QUARANTINED));
        assertThat(ledger.assess(REQUEST, 70).retryAfterMillis(), greaterThan(60_000L));
    }

    /**
     * Guards against sending a request on at the processes that hear late of one of its lost runs and soon of the next.
     */
    @Test
    void runsOfOneProcessCountHoweverLateTheirReportsAre() {
        ledger.record(reported("a", 0, 340, 241), 700);
        ledger.record(reported("b", 350, 640, 200), 900);
        ledger.record(reported("c", 650, 770, 0), 900);
        assertThat(status(REQUEST, 1_000), is(Assessment.Status.QUARANTINED));
        assertThat(ledger.assess(REQUEST, 1_000).crashes(), is(3));
    }

    /** Guards against two runs at once that count twice, as the report of one of them was late. */
    @Test
    void runsOfOneProcessThatOverlapCountOnceHoweverLateTheirReportsAre() {
        ledger.record(reported("a", 0, 100, 0), 100);
        ledger.record(reported("b", 20, 120, 200), 320);
        assertThat(ledger.assess(REQUEST, 400).crashes(), is(1));
    }

    /** Guards against targets that restart so quickly that nobody notices that they crashed. */
    @Test
    void threeLostConnectionsQuarantine() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.LOST);
        lose(REQUEST, "a", 50, 60, CrashEvidence.LOST);
        assertThat(status(REQUEST, 70), is(Assessment.Status.SUSPECT));
        lose(REQUEST, "a", 100, 110, CrashEvidence.LOST);
        assertThat(status(REQUEST, 120), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against blaming a request that many callers send for the crash of a rack. */
    @Test
    void runsThatOverlapCountOnce() {
        for (int i = 0; i < 5; i++) {
            lose(REQUEST, "target" + i, i, 500, CrashEvidence.CRASHED);
        }
        assertThat(ledger.assess(REQUEST, 510).crashes(), is(1));
        assertThat(status(REQUEST, 510), is(Assessment.Status.SUSPECT));
    }

    /** Guards against blaming a request of many callers whose short runs were sent just before the crash of a rack. */
    @Test
    void shortRunsThatOverlapCountOnce() {
        for (int i = 0; i < 5; i++) {
            lose(REQUEST, "target" + i, 100 + i, 106 + i, CrashEvidence.LOST);
        }
        assertThat(ledger.assess(REQUEST, 120).crashes(), is(1));
    }

    /** Guards against a fourth target after two tries at once and one more have lost three. */
    @Test
    void triesAtOnceCountOnceThereIsALaterOne() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.LOST);
        lose(REQUEST, "b", 0, 10, CrashEvidence.LOST);
        assertThat(status(REQUEST, 20), is(Assessment.Status.SUSPECT));
        lose(REQUEST, "c", 50, 60, CrashEvidence.LOST);
        assertThat(status(REQUEST, 70), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against blaming a request that was lost in two crashes of many targets each. */
    @Test
    void crashesOfSeveralTargetsSayLittle() {
        lose(fingerprint("other"), "b", 0, 400, CrashEvidence.CRASHED);
        lose(REQUEST, "a", 0, 500, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 510), is(Assessment.Status.WEAK_SUSPECT));
        lose(REQUEST, "c", 600, 2_000, CrashEvidence.CRASHED);
        lose(fingerprint("another"), "d", 600, 2_000, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 2_010), is(Assessment.Status.SUSPECT));
        lose(REQUEST, "e", 2_100, 2_200, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 2_210), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against clearing a request because of those that were lost with it, at the same targets. */
    @Test
    void requestsLostAtTheSameTargetsExplainNothing() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.CRASHED);
        lose(fingerprint("beside"), "a", 0, 10, CrashEvidence.CRASHED);
        lose(REQUEST, "b", 50, 60, CrashEvidence.CRASHED);
        lose(fingerprint("beside b"), "b", 40, 60, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 70), is(Assessment.Status.QUARANTINED));
        assertThat(status(fingerprint("beside"), 70), is(Assessment.Status.WEAK_SUSPECT));
    }

    /** Guards against missing the crash of a target that went dark, whose callers left before it was noticed. */
    @Test
    void abandonedRunsCountOnceTheirTargetIsKnownToHaveCrashed() {
        lose(REQUEST, "a", 0, 1_000, CrashEvidence.POSSIBLE);
        assertThat(status(REQUEST, 1_010), is(Assessment.Status.CLEAN));
        assertThat(ledger.targetCrashed("a", 2_000), hasSize(1));
        assertThat(status(REQUEST, 2_010), is(Assessment.Status.SUSPECT));
        assertThat(ledger.targetCrashed("a", 2_020), is(empty()));
    }

    /**
     * Guards against a fourth target for a request whose second run was silent when the third was sent, and lost later:
     * the two count once until the second target is known to have crashed.
     */
    @Test
    void suspectWaitsUntilCrashOfSilentTargetIsKnown() {
        loseBesideOther("a", 0, 300, CrashEvidence.CRASHED);
        lose(REQUEST, "b", 1_100, 1_900, CrashEvidence.SILENT);
        loseBesideOther("b", 1_100, 2_210, CrashEvidence.LOST);
        loseBesideOther("c", 2_200, 3_000, CrashEvidence.LOST);
        assertThat(ledger.assess(REQUEST, 3_040).crashes(), is(2));
        assertThat(ledger.assess(REQUEST, 3_040).settlesAtMillis(), greaterThan(3_060L));
        ledger.targetCrashed("b", 3_060);
        assertThat(status(REQUEST, 3_060), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against the same where nobody notices that the silent target has crashed, and nothing clears its run. */
    @Test
    void runThatFellSilentCountsBeforeItsReplacement() {
        loseBesideOther("a", 0, 300, CrashEvidence.CRASHED);
        lose(REQUEST, "b", 1_100, 1_900, CrashEvidence.POSSIBLE);
        loseBesideOther("b", 1_100, 2_210, CrashEvidence.LOST);
        loseBesideOther("c", 2_200, 3_000, CrashEvidence.LOST);
        assertThat(status(REQUEST, 3_040), is(Assessment.Status.SUSPECT));
        assertThat(status(REQUEST, 3_300), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against holding a lost connection against a request from its silence on if its target has sent since. */
    @Test
    void runThatWasHeardAfterItsSilenceCountsUntilItsEnd() {
        loseBesideOther("a", 0, 300, CrashEvidence.CRASHED);
        lose(REQUEST, "b", 1_100, 1_900, CrashEvidence.SILENT);
        ledger.livedOn(nextId - 1, 2_000);
        loseBesideOther("b", 1_100, 2_210, CrashEvidence.LOST);
        loseBesideOther("c", 2_200, 3_000, CrashEvidence.LOST);
        assertThat(status(REQUEST, 3_300), is(Assessment.Status.SUSPECT));
    }

    /**
     * Guards against a fourth target where the caller has left the third one, which is not known to have crashed yet.
     */
    @Test
    void suspectWaitsUntilCrashOfAbandonedTargetIsKnown() {
        loseBesideOther("a", 0, 300, CrashEvidence.CRASHED);
        loseBesideOther("b", 1_100, 2_000, CrashEvidence.CRASHED);
        loseBesideOther("c", 2_200, 3_000, CrashEvidence.POSSIBLE);
        assertThat(ledger.assess(REQUEST, 3_010).settlesAtMillis(), greaterThan(3_019L));
        ledger.targetCrashed("c", 3_019);
        assertThat(status(REQUEST, 3_019), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against holding a request for the targets of runs that were too few, or are known to have lived on. */
    @Test
    void suspectWaitsForNoTargetThatDecidesNothing() {
        loseBesideOther("a", 0, 300, CrashEvidence.CRASHED);
        loseBesideOther("b", 1_100, 2_000, CrashEvidence.CRASHED);
        assertThat(ledger.assess(REQUEST, 2_030).settlesAtMillis(), is(2_030L));
        lose(REQUEST, "c", 2_200, 3_000, CrashEvidence.POSSIBLE);
        ledger.livedOn(nextId - 1, 3_010);
        assertThat(ledger.assess(REQUEST, 3_020).settlesAtMillis(), lessThanOrEqualTo(3_020L));
    }

    /** Guards against blaming a request for a crash of its target long after its end. */
    @Test
    void laterCrashOfTheTargetChangesNothing() {
        lose(REQUEST, "a", 0, 1_000, CrashEvidence.POSSIBLE);
        assertThat(ledger.targetCrashed("a", 10_000), is(empty()));
    }

    /** Guards against clearing a run whose target is known to have crashed, because a peer reached it meanwhile. */
    @Test
    void lostPathClearsNoKnownCrash() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.LOST);
        lose(REQUEST, "b", 50, 60, CrashEvidence.LOST);
        ledger.targetCrashed("b", 62);
        assertThat(ledger.pathLost(0, 65), hasSize(1));
        assertThat(ledger.pathLost(1, 65), is(empty()));
        assertThat(ledger.assess(REQUEST, 70).crashes(), is(1));
        assertThat(ledger.pathLost(2, 65), is(empty()));
    }

    /** Guards against taking lost paths for crashes, because two fronts that lost them agree. */
    @Test
    void targetThatLivedOnHasNotCrashed() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.LOST);
        ledger.targetCrashed("a", 20);
        assertThat(ledger.livedOn(0, 520), hasSize(1));
        assertThat(status(REQUEST, 530), is(Assessment.Status.CLEAN));
    }

    /** Guards against holding crashes against a request that many send, and that is served. */
    @Test
    void servedRequestIsCleared() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.CRASHED);
        assertThat(ledger.served(REQUEST, 100), hasSize(1));
        assertThat(status(REQUEST, 110), is(Assessment.Status.CLEAN));
        lose(REQUEST, "b", 200, 210, CrashEvidence.CRASHED);
        assertThat(status(REQUEST, 220), is(Assessment.Status.SUSPECT));
    }

    /** Guards against refusing a request for good, though the targets have been mended. */
    @Test
    void quarantineEnds() {
        lose(REQUEST, "a", 0, 10, CrashEvidence.CRASHED);
        lose(REQUEST, "b", 50, 60, CrashEvidence.CRASHED);
        long retryAtMillis = 70 + ledger.assess(REQUEST, 70).retryAfterMillis();
        assertThat(status(REQUEST, retryAtMillis - 1), is(Assessment.Status.QUARANTINED));
        assertThat(status(REQUEST, retryAtMillis), is(Assessment.Status.SUSPECT));
        ledger.expire(FORGOTTEN_MILLIS);
        assertThat(ledger.isEmpty(), is(true));
    }

    /** Guards against memory that grows with each crash of a large fleet. */
    @Test
    void ledgerIsBounded() {
        for (int i = 0; i < 30_000; i++) {
            lose(fingerprint("request" + i), "target" + i % 100, i, i + 5, CrashEvidence.CRASHED);
        }
        assertThat(ledger.size(), lessThanOrEqualTo(10_000));
    }

    /**
     * Guards against processes that decide differently because reports reached them in another order, or repeatedly.
     */
    @Property(tries = 300)
    void orderOfReportsDoesNotMatter(@ForAll long seed) {
        ledger = new CrashLedger();
        Random random = new Random(seed);
        List<LostRun> reports = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            long sentAtMillis = random.nextInt(3_000);
            LostRun run = run(
                    i,
                    fingerprint("request" + random.nextInt(3)),
                    "target" + random.nextInt(5),
                    sentAtMillis,
                    sentAtMillis + random.nextInt(800),
                    CrashEvidence.values()[random.nextInt(CrashEvidence.values().length)]);
            reports.add(run);
            reports.add(ImmutableLostRun.copyOf(run)
                    .withEvidence(CrashEvidence.values()[random.nextInt(CrashEvidence.values().length)]));
        }
        reports.forEach(report -> ledger.record(report, 4_000));
        CrashLedger other = new CrashLedger();
        List<LostRun> shuffled = new ArrayList<>(reports);
        shuffled.addAll(reports);
        Collections.shuffle(shuffled, random);
        shuffled.forEach(report -> other.record(report, 4_000));
        for (int i = 0; i < 3; i++) {
            Fingerprint fingerprint = fingerprint("request" + i);
            assertThat(other.assess(fingerprint, 4_000), is(ledger.assess(fingerprint, 4_000)));
        }
    }

    /**
     * Guards against a fourth crash under one request, whatever else crashes, however late the targets are known to
     * have crashed, and at whichever time its caller repeats it.
     */
    @Property(tries = 500)
    void requestCrashesThreeTargetsAtMost(@ForAll long seed) {
        ledger = new CrashLedger();
        Random random = new Random(seed);
        long nowMillis = 0;
        int crashes = 0;
        for (int i = 0; i < 40; i++) {
            nowMillis += random.nextInt(300);
            if (random.nextInt(3) == 0) {
                lose(fingerprint("other" + i), "o" + random.nextInt(4), nowMillis - 5, nowMillis, evidence(random));
            }
            if (!ledger.assess(REQUEST, nowMillis).quarantined()) {
                long sentAtMillis = nowMillis;
                nowMillis += 1 + random.nextInt(50);
                lose(REQUEST, "t" + random.nextInt(10), sentAtMillis, nowMillis, evidence(random));
                crashes++;
            }
        }
        assertThat(crashes, lessThanOrEqualTo(CrashLedger.MAX_LOST_TARGETS));
    }

    private static CrashEvidence evidence(Random random) {
        return random.nextBoolean() ? CrashEvidence.CRASHED : CrashEvidence.LOST;
    }

    /** Guards against taking two requests for one because their parts are cut elsewhere. */
    @Test
    void fingerprintDependsOnEachPart() {
        Set<Fingerprint> all = new HashSet<>();
        all.add(new Fingerprint.Builder().add("ab").add("c").build());
        all.add(new Fingerprint.Builder().add("a").add("bc").build());
        all.add(new Fingerprint.Builder().add("abc").add("").build());
        all.add(new Fingerprint.Builder().add("abc").build());
        all.add(new Fingerprint.Builder()
                .add("abc")
                .add(ByteBuffer.wrap(new byte[] {0}))
                .build());
        assertThat(all, hasSize(5));
        assertThat(fingerprint("same"), is(fingerprint("same")));
    }

    private static Fingerprint fingerprint(String content) {
        return new Fingerprint.Builder().add(content).build();
    }

    private Assessment.Status status(Fingerprint fingerprint, long nowMillis) {
        return ledger.assess(fingerprint, nowMillis).status();
    }

    private void lose(
            Fingerprint fingerprint, String targetId, long sentAtMillis, long endedAtMillis, CrashEvidence evidence) {
        ledger.record(run(nextId++, fingerprint, targetId, sentAtMillis, endedAtMillis, evidence), endedAtMillis);
    }

    /** Records a run of the request, and one of another request that another target lost at the same time. */
    private void loseBesideOther(String targetId, long sentAtMillis, long endedAtMillis, CrashEvidence evidence) {
        lose(REQUEST, targetId, sentAtMillis, endedAtMillis, evidence);
        lose(fingerprint("other"), "beside " + targetId, sentAtMillis, endedAtMillis, CrashEvidence.CRASHED);
    }

    /** Returns a run of another process, as its report tells of it after a delay. */
    private LostRun reported(String targetId, long sentAtMillis, long endedAtMillis, long delayMillis) {
        return ImmutableLostRun.builder()
                .from(run(
                        LostRun.id("origin", (int) nextId++),
                        REQUEST,
                        targetId,
                        sentAtMillis + delayMillis,
                        endedAtMillis + delayMillis,
                        CrashEvidence.CRASHED))
                .originSentMillis(5_000_000 + sentAtMillis)
                .build();
    }

    private static LostRun run(
            long id,
            Fingerprint fingerprint,
            String targetId,
            long sentAtMillis,
            long endedAtMillis,
            CrashEvidence evidence) {
        return ImmutableLostRun.builder()
                .id(id)
                .fingerprint(fingerprint)
                .targetId(targetId)
                .sentAtMillis(sentAtMillis)
                .endedAtMillis(endedAtMillis)
                .evidence(evidence)
                .build();
    }
}
