package org.whinwharf.bench.history;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.bench.PromptSpec;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.standin.record.EngineRecord;
import org.whinwharf.standin.record.Overload;
import org.whinwharf.standin.record.StreamRecord;

/** Plants one breach of each rule into a clean history and expects just that breach to be found. */
class HistoryTest {
    private static final int TOKENS = 4;

    private final List<HistoryEntry> entries = new ArrayList<>();
    private final List<StreamRecord> streamsA = new ArrayList<>();
    private final List<StreamRecord> streamsB = new ArrayList<>();
    private final List<Overload> overloads = new ArrayList<>();
    private final List<CallRecord> calls = new ArrayList<>();
    private final List<Withdrawal> withdrawals = new ArrayList<>();

    /** A run with one whole answer, one call, one shed request of the lowest tier and one broken attempt. */
    HistoryTest() {
        entries.add(whole("w", "h.1.1", 1000));
        streamsA.add(stream("h.1.1", "w", 1010, 1));
        entries.add(call("c", 0, "h.1.2", 1000));
        calls.add(new CallRecord("h.1.2", "book", 1010, StandInText.inputDigest("body c")));
        entries.add(shed("s", 0, 3000));
        entries.add(attempt("b", 2, 4000).outcome(HistoryEntry.Outcome.BROKEN).build());
        streamsA.add(stream("h.1.4", "b", 4010, 1));
    }

    @Test
    void cleanHistoryHasNoViolations() {
        assertThat(history().violations(), is(empty()));
    }

    @Test
    void survivesWritingAndReading(@TempDir Path folder) throws Exception {
        List<String> lines = new ArrayList<>();
        for (HistoryEntry entry : entries) {
            lines.add(HistoryFiles.line(entry));
        }
        Path file = folder.resolve("history.jsonl");
        Files.write(file, lines);
        Path targets = folder.resolve("targets.json");
        HistoryFiles.writeTargets(targets, targets());
        assertThat(HistoryFiles.readEntries(file), is(entries));
        assertThat(HistoryFiles.readTargets(targets), is(targets()));
    }

    /*
     * Two hosts hold the same request after a partition and each sends it to an engine.
     * The caller sees one answer, but the work is done twice.
     */
    @Test
    void requestAdmittedAtTwoTargetsIsFound() {
        streamsB.add(stream("h.1.1", "w", 1500, 1));
        assertThat(rules(), contains(Rule.DISPATCHED_ONCE));
    }

    /*
     * A home loses its link to the engine and posts the order again where it should have resumed the stream.
     * The engine refuses the repeat here; one that keeps no ids would run it twice.
     */
    @Test
    void requestPostedTwiceToOneTargetIsFound() {
        streamsA.set(0, stream("h.1.1", "w", 1010, 2));
        assertThat(rules(), contains(Rule.DISPATCHED_ONCE));
    }

    /*
     * A home tells its caller that it gave up on a request, then a grant arrives and the request is sent.
     * The caller asks another host in good faith and the work is done twice.
     */
    @Test
    void requestThatRanAfterNotRunIsFound() {
        entries.set(2, ImmutableHistoryEntry.copyOf(entries.get(2)).withRequestId("h.1.3"));
        streamsA.add(stream("h.1.3", "other", 3500, 1));
        assertThat(rules(), contains(Rule.NOT_RUN_IS_TRUE));
    }

    /*
     * The same, but the error carried no id, so that only the prompt shows that the request ran.
     */
    @Test
    void requestThatRanUnderAnIdTheCallerNeverLearnedIsFound() {
        streamsB.add(stream("h.9.9", "s", 3500, 1));
        assertThat(rules(), contains(Rule.NOT_RUN_IS_TRUE));
    }

    /*
     * Two streams of one connection are mixed up and a caller gets tokens of another's answer.
     */
    @Test
    void foreignAnswerIsFound() {
        String foreign = StandInText.answer("h.1.4", prompt("b").text(), TOKENS);
        entries.set(0, ImmutableHistoryEntry.copyOf(entries.get(0)).withTextDigest(StandInText.inputDigest(foreign)));
        assertThat(rules(), contains(Rule.ANSWER_IS_ITS_OWN));
    }

    /*
     * A stream is resumed one token too far on, and its end is taken for the end of a whole answer.
     */
    @Test
    void answerWithAMissingTokenIsFound() {
        String answer = StandInText.answer("h.1.1", prompt("w").text(), TOKENS);
        String torn = answer.substring(0, 9) + answer.substring(18);
        entries.set(
                0,
                ImmutableHistoryEntry.copyOf(entries.get(0))
                        .withTextDigest(StandInText.inputDigest(torn))
                        .withTokens(TOKENS - 1));
        assertThat(rules(), contains(Rule.ANSWER_IS_ITS_OWN, Rule.ANSWER_IS_ITS_OWN));
    }

    /*
     * The answer names a target that never saw the request.
     */
    @Test
    void answerFromATargetThatNeverAdmittedIsFound() {
        entries.set(0, ImmutableHistoryEntry.copyOf(entries.get(0)).withTarget("engine-b"));
        assertThat(rules(), contains(Rule.ANSWER_IS_ITS_OWN));
    }

    /*
     * The answer to a booking is lost, the caller repeats it under a new number and the booking is made twice.
     */
    @Test
    void bookingMadeTwiceUnderTwoNumbersIsFound() {
        HistoryEntry first = ImmutableHistoryEntry.copyOf(entries.get(1))
                .withOutcome(HistoryEntry.Outcome.BROKEN)
                .withTextDigest("");
        entries.set(1, first);
        entries.add(call("c", 1, "h.1.7", 2000));
        calls.add(new CallRecord("h.1.7", "book", 2010, StandInText.inputDigest("body c")));
        assertThat(rules(), contains(Rule.NON_IDEMPOTENT_ONCE));
    }

    /*
     * Two owners shed each by its own queue: one turns a ranger away while the other keeps a school's request.
     */
    @Test
    void higherTierShedWhileALowerOneWaitedIsFound() {
        entries.add(shed("ranger", 3, 10_000));
        entries.add(attempt("school", 1, 9000)
                .headMillis(11_000)
                .endMillis(12_000)
                .outcome(HistoryEntry.Outcome.BROKEN)
                .build());
        assertThat(rules(), contains(Rule.LOWER_TIER_SHED_FIRST));
    }

    /*
     * Nothing is wrong where the lower request came after, had been sent on before, or is of another service.
     */
    @Test
    void lowerTierThatDidNotWaitAtThatInstantIsNoViolation() {
        entries.add(shed("ranger", 3, 10_000));
        entries.add(
                attempt("after", 1, 9_950).headMillis(11_000).endMillis(12_000).build());
        entries.add(
                attempt("before", 1, 9000).headMillis(10_050).endMillis(12_000).build());
        entries.add(attempt("elsewhere", 1, 9000)
                .service("other")
                .headMillis(11_000)
                .endMillis(12_000)
                .build());
        assertThat(rules(), is(empty()));
    }

    /*
     * An owner calls a ranger's request hopeless and then grants a place to a school's that waited beside it.
     * It was shed under another name.
     */
    @Test
    void higherTierCalledHopelessWhileALowerOneGetsAPlaceIsFound() {
        HistoryEntry ranger = ImmutableHistoryEntry.copyOf(shed("ranger", 3, 10_000))
                .withError("hopeless")
                .withDeadlineMillis(3000);
        entries.add(ranger);
        entries.add(
                attempt("school", 1, 9000).requestId("h.1.8").endMillis(12_000).build());
        streamsB.add(stream("h.1.8", "school", 10_200, 1));
        assertThat(rules(), contains(Rule.PLACE_TO_HIGHER_TIER_FIRST));
        streamsB.set(0, stream("h.1.8", "school", 11_500, 1));
        assertThat(rules(), is(empty()));
    }

    /*
     * A host that has not heard of the new document goes on sending work to the data centre that is out.
     */
    @Test
    void workSentToADataCentreThatIsOutIsFound() {
        withdrawals.add(new Withdrawal("martin-a", "", 500, 4000));
        assertThat(rules(), is(empty()));
        withdrawals.set(0, new Withdrawal("martin-a", "", 500 - Tolerances.DEFAULT.withdrawalMillis(), 1005));
        assertThat(rules(), is(empty()));
        withdrawals.set(0, new Withdrawal("martin-a", "", 500 - Tolerances.DEFAULT.withdrawalMillis(), 1011));
        assertThat(rules(), contains(Rule.NO_WORK_WHEN_OUT));
    }

    /*
     * A target begins to leave and a scheduler that was frozen wakes up and grants it.
     */
    @Test
    void workSentToALeavingTargetIsFound() {
        withdrawals.add(new Withdrawal("", "plain-a", 1009 - Tolerances.DEFAULT.withdrawalMillis(), Long.MAX_VALUE));
        assertThat(rules(), contains(Rule.NO_WORK_WHEN_OUT));
    }

    /*
     * Two schedulers each send one request to an engine that has just started and bears one.
     */
    @Test
    void coldEngineWithMoreThanItBearsIsFound() {
        overloads.add(new Overload(1020, 20, true, 2, 1));
        assertThat(rules(), contains(Rule.COLD_NOT_OVERLOADED));
    }

    /*
     * An engine turns cold without warning; what came before anyone could notice is no breach, what comes later is.
     */
    @Test
    void engineThatTurnedColdMayBeOverloadedOnlyUntilItIsNoticed() {
        overloads.add(new Overload(1020, Tolerances.DEFAULT.coldMillis(), false, 9, 1));
        assertThat(rules(), is(empty()));
        overloads.add(new Overload(1021, Tolerances.DEFAULT.coldMillis() + 1, false, 9, 1));
        assertThat(rules(), contains(Rule.COLD_NOT_OVERLOADED));
    }

    private List<Rule> rules() {
        return history().violations().stream().map(Violation::rule).toList();
    }

    private History history() {
        return new History(entries, targets(), withdrawals, Tolerances.DEFAULT);
    }

    private List<TargetHistory> targets() {
        EngineRecord engineA = new EngineRecord(1, 3, 1, overloads, streamsA, List.of());
        EngineRecord engineB = new EngineRecord(2, 3, 1, List.of(), streamsB, List.of());
        return List.of(
                new TargetHistory("engine-a", "martin-a", Optional.of(engineA), List.of()),
                new TargetHistory("engine-b", "martin-b", Optional.of(engineB), List.of()),
                new TargetHistory("plain-a", "zilina-a", Optional.empty(), calls));
    }

    private static PromptSpec prompt(String intent) {
        return new PromptSpec("form", 20, intent, 40);
    }

    private static ImmutableHistoryEntry.Builder attempt(String intent, int rank, long sentMillis) {
        return ImmutableHistoryEntry.builder()
                .intent(intent)
                .attempt(0)
                .ticket("t")
                .number(intent.hashCode() & 0xffff)
                .service("lampa-llm")
                .prompt(prompt(intent))
                .maxTokens(TOKENS)
                .organisation("o")
                .tierRank(rank)
                .sentMillis(sentMillis)
                .outcome(HistoryEntry.Outcome.BROKEN)
                .endMillis(sentMillis + 100);
    }

    private static HistoryEntry whole(String intent, String requestId, long sentMillis) {
        String text = StandInText.answer(requestId, prompt(intent).text(), TOKENS);
        return attempt(intent, 2, sentMillis)
                .requestId(requestId)
                .target("engine-a")
                .headMillis(sentMillis + 10)
                .tokens(TOKENS)
                .textDigest(StandInText.inputDigest(text))
                .outcome(HistoryEntry.Outcome.WHOLE)
                .build();
    }

    private static HistoryEntry call(String intent, int attempt, String requestId, long sentMillis) {
        String body = "body " + intent;
        return attempt(intent, 2, sentMillis)
                .attempt(attempt)
                .number(1_000_000 + attempt)
                .requestId(requestId)
                .service("zber-app")
                .call("book")
                .body(body)
                .prompt(Optional.empty())
                .maxTokens(0)
                .idempotent(false)
                .target("plain-a")
                .textDigest(StandInText.inputDigest(StandInText.callAnswer(requestId, "book", body)))
                .outcome(HistoryEntry.Outcome.WHOLE)
                .build();
    }

    private static HistoryEntry shed(String intent, int rank, long endMillis) {
        return attempt(intent, rank, endMillis - 150)
                .endMillis(endMillis)
                .outcome(HistoryEntry.Outcome.ERROR)
                .error("shed")
                .ran("not-run")
                .comeBackMillis(500)
                .build();
    }

    private static StreamRecord stream(String id, String intent, long startMillis, int posts) {
        String digest = StandInText.inputDigest(prompt(intent).text());
        return new StreamRecord(id, "m", startMillis, startMillis + 50, TOKENS, posts, "completed", 10, 10, digest);
    }
}
