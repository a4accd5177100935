package org.whinwharf.standin.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.schema.StreamOrder;

/** Drives the engine stand-in's batch by hand. */
class BatchTest {
    private static final int SLOTS = 8;

    private final List<Batch.Step> steps = new ArrayList<>();
    private long nowMillis;

    @Test
    void coldEngineWarmsByCompletions() {
        Batch batch = batch(1);
        assertThat(batch.bears(), is(1));
        for (int i = 0; i < SLOTS; i++) {
            assertThat(batch.admit(work("s" + i, "prompt"), nowMillis), is(true));
            run(batch, 200);
        }
        assertThat(batch.cold(), is(false));
        assertThat(batch.overloads(), hasSize(0));
    }

    @Test
    void coldEngineCollapsesBeyondWhatItBears() {
        Batch batch = batch(1);
        Work first = work("a", "prompt");
        Work second = work("b", "prompt");
        batch.admit(first, nowMillis);
        batch.admit(second, nowMillis);
        batch.admit(work("c", "prompt"), nowMillis);
        assertThat(batch.admit(work("d", "prompt"), nowMillis), is(false));
        run(batch, 1500);
        assertThat(first.outcome, is(Work.Outcome.FAILED));
        assertThat(second.outcome, is(Work.Outcome.FAILED));
        assertThat(batch.overloads(), hasSize(2));
    }

    @Test
    void streamsBeyondTheSlotsWaitInOrderOfArrival() {
        Batch batch = batch(SLOTS);
        for (int i = 0; i < SLOTS + 2; i++) {
            batch.admit(work("s" + i, "prompt"), nowMillis);
        }
        run(batch, 2);
        assertThat(batch.running(), is(SLOTS));
        assertThat(batch.queued(), is(2));
        run(batch, 1000);
        List<String> firstTokens = steps.stream()
                .filter(step -> step.token().getIndex() == 0)
                .map(step -> step.work().id)
                .toList();
        assertThat(firstTokens.subList(SLOTS, SLOTS + 2), is(List.of("s8", "s9")));
    }

    @Test
    void cachedPrefixIsNotReadAgainUntilMemoryRunsOut() {
        Batch batch = batch(SLOTS);
        String shared = "x".repeat(1024);
        Work first = work("a", shared + "first");
        Work second = work("b", shared + "second");
        batch.admit(first, nowMillis);
        batch.admit(second, nowMillis);
        run(batch, 2);
        assertThat(first.prefillTokens, is(258));
        assertThat(second.prefillTokens, is(2));
        batch.admit(work("c", "y".repeat(4096)), nowMillis);
        run(batch, 2);
        Work again = work("d", shared + "first");
        batch.admit(again, nowMillis);
        run(batch, 2);
        assertThat(again.prefillTokens, is(greaterThan(2)));
    }

    private void run(Batch batch, long forMillis) {
        long untilMillis = nowMillis + forMillis;
        for (; nowMillis < untilMillis; nowMillis += 2) {
            steps.addAll(batch.tick(nowMillis));
        }
    }

    private Work work(String id, String prompt) {
        StreamOrder order = StreamOrder.newBuilder()
                .setId(id)
                .setModel("m")
                .setPrompt(prompt)
                .setMaxTokens(10)
                .build();
        return new Work(order, nowMillis);
    }

    private static Batch batch(int coldRequests) {
        EngineSettings settings = ImmutableEngineSettings.builder()
                .slots(SLOTS)
                .maxQueued(SLOTS)
                .tokenMillis(10)
                .prefillTokensPerSecond(100_000)
                .coldRequests(coldRequests)
                .cacheTokens(1024)
                .loadLagMillis(0)
                .cacheLagMillis(0)
                .cacheLoss(0)
                .keepMillis(0)
                .seed(1)
                .build();
        return new Batch(settings, 0);
    }
}
