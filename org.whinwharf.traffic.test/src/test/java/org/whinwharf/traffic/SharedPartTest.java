package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.CrashLedger;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.ImmutableLostRun;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.traffic.target.PromptPart;

/** Tests crashes that are held against the parts that prompts share. */
class SharedPartTest {
    private static final Fingerprint FATAL = part("fatal");
    private static final Fingerprint COMMON = part("common");
    private static final Fingerprint RARE = part("rare");

    private CrashLedger ledger = new CrashLedger();
    private int nextRun;

    /** Guards against sending requests on that differ in all but the part under which targets crash. */
    @Test
    void partLostWithThreeTargetsIsQuarantined() {
        lose("a", 0, 10, FATAL);
        assertThat(status(FATAL, 20), is(Assessment.Status.CLEAN));
        lose("b", 100, 110, FATAL);
        assertThat(status(FATAL, 120), is(Assessment.Status.SUSPECT));
        lose("c", 200, 210, FATAL);
        Assessment assessment = assess(220, COMMON, FATAL);
        assertThat(assessment.status(), is(Assessment.Status.QUARANTINED));
        assertThat(assessment.subject(), is(FATAL));
        assertThat(assessment.retryAfterMillis(), greaterThan(1_000L));
        assertThat(status(COMMON, 220), is(Assessment.Status.CLEAN));
    }

    /** Guards against refusing sound parts that came along with a request that crashed one target after the other. */
    @Test
    void partsOfOneRequestAreNotQuarantinedWithIt() {
        Fingerprint fatal = request("fatal");
        for (int i = 0; i < 3; i++) {
            lose(run(nextRun++, fatal, "target" + i, 100 * i, 100 * i + 10, FATAL, RARE));
        }
        assertThat(ledger.assess(fatal, Set.of(FATAL, RARE), 220).quarantined(), is(true));
        assertThat(status(RARE, 220), is(Assessment.Status.SUSPECT));
        lose("d", 300, 310, FATAL);
        assertThat(status(FATAL, 320), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 320), not(Assessment.Status.QUARANTINED));
    }

    /** Guards against taking crashes within a second for one event, where the requests come together. */
    @Test
    void crashesAtAboutTheSameTimeCountEach() {
        lose("a", 0, 100, FATAL);
        lose("b", 20, 130, FATAL);
        lose("c", 110, 200, FATAL);
        assertThat(status(FATAL, 210), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against counting the many requests that one target has, or their reports, as many crashes. */
    @Test
    void runsOfOneTargetCountOnce() {
        for (int i = 0; i < 8; i++) {
            lose("a", i, 100 + i, COMMON);
        }
        assertThat(status(COMMON, 120), is(Assessment.Status.CLEAN));
    }

    /** Guards against refusing parts that are served everywhere, because targets crash under others. */
    @Test
    void servedPartIsCleared() {
        lose("a", 0, 10, FATAL, COMMON);
        lose("b", 100, 110, FATAL, COMMON);
        assertThat(status(COMMON, 120), is(Assessment.Status.SUSPECT));
        ledger.partServed(COMMON, 150);
        assertThat(status(COMMON, 160), is(Assessment.Status.CLEAN));
        lose("c", 200, 210, COMMON);
        assertThat(status(COMMON, 220), is(Assessment.Status.CLEAN));
        lose("d", 300, 310, COMMON);
        assertThat(status(COMMON, 320), is(Assessment.Status.SUSPECT));
        assertThat(status(FATAL, 320), is(Assessment.Status.SUSPECT));
    }

    /** Guards against refusing parts of requests that a rack has taken with it, before any was tried again. */
    @Test
    void partLostWithRackIsNotQuarantined() {
        for (int i = 0; i < 6; i++) {
            lose("target" + i, i, 500, RARE);
        }
        assertThat(status(RARE, 600), is(Assessment.Status.SUSPECT));
    }

    /** Guards against blaming parts and requests that were lost beside those that crashed their targets. */
    @Test
    void quarantinedPartAccountsForItsCrashes() {
        Fingerprint beside = request("beside");
        lose("a", 0, 10, FATAL);
        lose(run(nextRun++, beside, "a", 0, 12, RARE));
        lose("b", 100, 110, FATAL);
        lose(run(nextRun++, beside, "b", 50, 112, RARE));
        assertThat(status(RARE, 120), is(Assessment.Status.SUSPECT));
        assertThat(ledger.assess(beside, Set.of(RARE), 200).quarantined(), is(true));
        lose("c", 200, 210, FATAL);
        assertThat(status(FATAL, 300), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 300), is(Assessment.Status.CLEAN));
        assertThat(ledger.assess(beside, Set.of(RARE), 300).quarantined(), is(false));
        lose(run(nextRun++, beside, "d", 400, 410, RARE));
        assertThat(ledger.assess(beside, Set.of(RARE), 420).quarantined(), is(true));
    }

    /** Guards against taking a part that was lost at the same targets for the cause, and sending the other one on. */
    @Test
    void partsLostAtTheSameTargetsAreBothQuarantined() {
        for (int i = 0; i < 3; i++) {
            lose("target" + i, 100 * i, 100 * i + 10, FATAL, RARE);
        }
        assertThat(status(FATAL, 300), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 300), is(Assessment.Status.QUARANTINED));
        lose("target3", 300, 310, FATAL);
        assertThat(status(FATAL, 320), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 320), is(Assessment.Status.CLEAN));
    }

    /** Guards against refusing a sound part that was lost as often as each of the crashing parts beside it. */
    @Test
    void servedPartIsNotQuarantinedBesideCrashingParts() {
        Fingerprint second = part("second");
        ledger.partServed(RARE, 5);
        lose("a", 10, 20, FATAL, RARE);
        lose("b", 100, 110, RARE, FATAL);
        lose("c", 200, 210, second, RARE);
        lose("d", 300, 310, second);
        lose("e", 400, 410, FATAL, COMMON);
        lose("f", 500, 510, RARE);
        assertThat(status(FATAL, 520), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 520), is(Assessment.Status.SUSPECT));
    }

    /**
     * Guards against refusing a sound part that many requests have when a rack is lost shortly after another target.
     */
    @Test
    void servedPartLostWithTargetAndThenRackIsNotQuarantined() {
        ledger.partServed(COMMON, 5);
        lose("a", 10, 20, COMMON);
        for (int i = 0; i < 6; i++) {
            lose("target" + i, 3_000 + i, 3_500 + i, COMMON, FATAL);
        }
        assertThat(status(COMMON, 3_600), is(Assessment.Status.SUSPECT));
        assertThat(status(FATAL, 3_600), is(Assessment.Status.SUSPECT));
    }

    /** Guards against forgetting that a part was served while crashes are held against it, and refusing it then. */
    @Test
    void servingTellsForPartWhileItsCrashesAreRemembered() {
        servedPartLostWithTargetAndThenRackIsNotQuarantined();
        ledger.expire(60_000);
        assertThat(status(COMMON, 60_000), is(Assessment.Status.SUSPECT));
    }

    /** Guards against sending a part on under which targets have begun to crash, as those of a new version do. */
    @Test
    void servedPartIsQuarantinedAfterThreeCrashesInSequence() {
        ledger.partServed(FATAL, 5);
        lose("a", 10, 20, FATAL, RARE);
        lose("b", 100, 110, FATAL, RARE);
        assertThat(status(FATAL, 120), is(Assessment.Status.SUSPECT));
        lose("c", 200, 210, FATAL, COMMON);
        assertThat(status(FATAL, 220), is(Assessment.Status.QUARANTINED));
    }

    /** Guards against refusing a sound part for long that nothing but a trial tells from the crashing one beside it. */
    @Test
    void partsLostEquallyOftenAreTriedSoon() {
        for (int i = 0; i < 3; i++) {
            lose("target" + i, 100 * i, 100 * i + 10, FATAL, RARE);
        }
        lose("d", 300, 310, RARE, COMMON);
        lose("e", 300, 311, FATAL);
        assertThat(status(RARE, 2_300), is(Assessment.Status.QUARANTINED));
        assertThat(status(RARE, 2_320), is(Assessment.Status.SUSPECT));
        lose("f", 2_320, 2_400, FATAL);
        assertThat(assess(2_420, FATAL).retryAfterMillis(), greaterThan(500_000L));
        assertThat(status(RARE, 2_420), is(Assessment.Status.CLEAN));
    }

    /** Guards against holding against a part that only paths were lost. */
    @Test
    void lostPathsAreNotHeldAgainstParts() {
        for (int i = 0; i < 3; i++) {
            lose(run(i, request("n" + i), "target" + i, 100 * i, 100 * i + 10, CrashEvidence.LOST, RARE));
        }
        assertThat(status(RARE, 300), is(Assessment.Status.QUARANTINED));
        ledger.pathLost(0, 310);
        ledger.livedOn(1, 310);
        assertThat(status(RARE, 320), is(Assessment.Status.CLEAN));
    }

    /** Guards against refusing a part for good, and against trials that crash more than five targets in ten minutes. */
    @Test
    void quarantineOfPartEndsForTrials() {
        for (int i = 0; i < 3; i++) {
            lose("target" + i, 100 * i, 100 * i + 10, FATAL);
        }
        long nowMillis = 300;
        int trials = 0;
        while (nowMillis < 500_000) {
            Assessment assessment = assess(nowMillis, FATAL);
            if (assessment.quarantined()) {
                nowMillis += assessment.retryAfterMillis();
            } else {
                assertThat(assessment.status(), is(Assessment.Status.SUSPECT));
                trials++;
                lose("trial" + trials, nowMillis, nowMillis + 10, FATAL);
                nowMillis += 10;
            }
        }
        assertThat(trials, is(2));
        ledger.expire(nowMillis + 700_000);
        assertThat(status(FATAL, nowMillis + 700_000), is(Assessment.Status.CLEAN));
    }

    /** Guards against memory that grows with the parts that callers make up. */
    @Test
    void partsAreBounded() {
        for (int i = 0; i < 3_000; i++) {
            int run = i;
            lose(
                    "target" + i,
                    i,
                    i + 5,
                    IntStream.range(0, 20)
                            .mapToObj(part -> part(run + "/" + part))
                            .toArray(Fingerprint[]::new));
        }
        long remembered = IntStream.range(0, 3_000 * 20)
                .filter(i -> ledger.isLostPart(part(i / 20 + "/" + i % 20)))
                .count();
        assertThat(remembered, lessThanOrEqualTo(20_000L));
    }

    /** Guards against holding a crash against the part that belongs to one request or session. */
    @Test
    void lastPartIsNotShared() {
        assertThat(Fingerprint.ofSharedParts(List.of()), is(empty()));
        assertThat(Fingerprint.ofSharedParts(prompt("own")), is(empty()));
        assertThat(Fingerprint.ofSharedParts(prompt("fatal", "own")), contains(FATAL));
        assertThat(Fingerprint.ofSharedParts(prompt("common", "fatal", "own")), contains(COMMON, FATAL));
    }

    /** Guards against a prompt of any number of parts that occupies the ledger of each process. */
    @Test
    void sharedPartsOfPromptAreBounded() {
        String[] ids = IntStream.range(0, 500).mapToObj(String::valueOf).toArray(String[]::new);
        assertThat(Fingerprint.ofSharedParts(prompt(ids)), hasSize(Fingerprint.MAX_SHARED_PARTS));
    }

    /** Guards against processes that decide differently because they heard of runs and servings in another order. */
    @Property(tries = 300)
    void orderOfReportsDoesNotMatter(@ForAll long seed) {
        Random random = new Random(seed);
        List<Consumer<CrashLedger>> reports = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            long sentAtMillis = random.nextInt(3_000);
            LostRun run = run(
                    i,
                    request("n" + random.nextInt(4)),
                    "target" + random.nextInt(6),
                    sentAtMillis,
                    sentAtMillis + random.nextInt(500),
                    CrashEvidence.values()[random.nextInt(CrashEvidence.values().length)],
                    part("p" + random.nextInt(3)),
                    part("q" + random.nextInt(3)));
            reports.add(known -> known.record(run, 4_000));
        }
        for (int i = 0; i < 3; i++) {
            Fingerprint served = part("p" + random.nextInt(3));
            long atMillis = random.nextInt(3_500);
            reports.add(known -> known.partServed(served, atMillis));
        }
        CrashLedger first = new CrashLedger();
        reports.forEach(report -> report.accept(first));
        CrashLedger second = new CrashLedger();
        Collections.shuffle(reports, random);
        reports.forEach(report -> report.accept(second));
        reports.forEach(report -> report.accept(second));
        for (int i = 0; i < 3; i++) {
            Set<Fingerprint> parts = Set.of(part("p" + i), part("q" + i));
            assertThat(second.assess(request("n" + i), parts, 4_000), is(first.assess(request("n" + i), parts, 4_000)));
        }
    }

    private static List<PromptPart> prompt(String... ids) {
        return List.of(ids).stream().map(id -> new PromptPart(id, 50)).toList();
    }

    private static Fingerprint part(String id) {
        return Fingerprint.ofSharedParts(prompt(id, "own")).iterator().next();
    }

    private static Fingerprint request(String content) {
        return new Fingerprint.Builder().add(content).build();
    }

    private Assessment assess(long nowMillis, Fingerprint... parts) {
        return ledger.assess(request("new"), Set.of(parts), nowMillis);
    }

    private Assessment.Status status(Fingerprint part, long nowMillis) {
        return assess(nowMillis, part).status();
    }

    /** Records the crash of a target under a request that is unlike all others but for the given parts. */
    private void lose(String targetId, long sentAtMillis, long endedAtMillis, Fingerprint... parts) {
        int id = nextRun++;
        lose(run(id, request("n" + id), targetId, sentAtMillis, endedAtMillis, parts));
    }

    private void lose(LostRun run) {
        ledger.record(run, run.endedAtMillis());
    }

    private static LostRun run(
            int id, Fingerprint request, String targetId, long sentAtMillis, long endedAtMillis, Fingerprint... parts) {
        return run(id, request, targetId, sentAtMillis, endedAtMillis, CrashEvidence.CRASHED, parts);
    }

    private static LostRun run(
            int id,
            Fingerprint request,
            String targetId,
            long sentAtMillis,
            long endedAtMillis,
            CrashEvidence evidence,
            Fingerprint... parts) {
        return ImmutableLostRun.builder()
                .id(id)
                .fingerprint(request)
                .addSharedParts(parts)
                .targetId(targetId)
                .sentAtMillis(sentAtMillis)
                .endedAtMillis(endedAtMillis)
                .evidence(evidence)
                .build();
    }
}
