package org.whinwharf.owner.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.limit.CompletionSample;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.queue.WaitingRequest;
import org.whinwharf.wire.schema.CacheEvent;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.Limits;

class PlacementStrategyTest {
    private static final int PREFIXES = 8;

    private final TargetAccount one = account("one");
    private final TargetAccount other = account("other");
    private final PlacementState state = new PlacementState(1);

    @Test
    void longAnswerGoesToTheFasterTarget() {
        learn(one, 40);
        learn(other, 10);
        assertThat(score(waiting(0, 1000)), is("other"));
    }

    @Test
    void promptGoesToTheTargetWithItsPrefixUnlessTheAnswerIsLong() {
        learn(one, 12);
        learn(other, 10);
        one.prefixes().addServed(prefixes());
        assertThat(score(waiting(PREFIXES * CachedPrefixes.BLOCK_TOKENS, 10)), is("one"));
        assertThat(score(waiting(PREFIXES * CachedPrefixes.BLOCK_TOKENS, 5000)), is("other"));
    }

    // Cache events arrive late and with gaps: the prompt was just served at the target, but its "stored" events are
    // lost.
    @Test
    void servedPromptCountsAsCachedWithoutItsEventsAndDroppedBlocksDoNot() {
        CachedPrefixes cached = one.prefixes();
        cached.addServed(prefixes());
        cached.applyEvents(CacheEvents.newBuilder()
                .addEvents(CacheEvent.newBuilder().setNumber(900).setDigest("not hexadecimal"))
                .addEvents(CacheEvent.newBuilder().setNumber(907).setDigest(String.format("%016x", 3)))
                .build());
        assertThat(cached.lastEventNumber(), is(907L));
        int prompt = PREFIXES * CachedPrefixes.BLOCK_TOKENS;
        assertThat(cached.uncachedTokens(prefixes(), prompt), is(prompt - 2 * CachedPrefixes.BLOCK_TOKENS));
    }

    @Test
    void restartedTargetHasNoCachedPrefix() {
        CachedPrefixes cached = one.prefixes();
        cached.addServed(prefixes());
        cached.applyEvents(CacheEvents.newBuilder().setStartNumber(2).build());
        assertThat(cached.uncachedTokens(prefixes(), 100), is(100));
    }

    private String score(WaitingRequest waiting) {
        List<Candidate> candidates = new ArrayList<>(List.of(new Candidate(one, 1), new Candidate(other, 1)));
        return PlacementStrategy.SCORE
                .choose(candidates, waiting, state)
                .account()
                .name();
    }

    private static void learn(TargetAccount account, int millisPerToken) {
        for (int i = 0; i < 5; i++) {
            account.speed().addSample(new CompletionSample(200, 200 + 99L * millisPerToken, 400, 400, 100), 0);
        }
    }

    private static WaitingRequest waiting(int promptTokens, int answerTokens) {
        return new WaitingRequest(
                new ProcessId("h0", 1), 1, 0, "o", 1, "", promptTokens, answerTokens, prefixes(), Long.MAX_VALUE, 0);
    }

    private static List<Long> prefixes() {
        return LongStream.rangeClosed(1, PREFIXES).boxed().toList();
    }

    private static TargetAccount account(String name) {
        return new TargetAccount(
                name, Limits.newBuilder().setCold(1).setMost(8).setSlowFactor(2).build());
    }
}
