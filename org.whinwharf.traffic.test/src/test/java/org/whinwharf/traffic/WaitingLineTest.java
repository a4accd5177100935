package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;

class WaitingLineTest {
    private final List<String> dispatched = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private int freeSlots;

    private class TestRequest implements QueuedRequest {
        private final String name;
        private final int tierRank;
        private final long timeoutAtMillis;

        TestRequest(String name, int tierRank, long untilMillis) {
            this.name = name;
            this.tierRank = tierRank;
            this.timeoutAtMillis = untilMillis;
        }

        @Override
        public int tierRank() {
            return tierRank;
        }

        @Override
        public long queueTimeoutAtMillis() {
            return timeoutAtMillis;
        }

        @Override
        public long backlogTimeoutAtMillis() {
            return timeoutAtMillis / 4;
        }

        @Override
        public long onTimeUntilMillis() {
            return timeoutAtMillis / 2;
        }

        @Override
        public String requiredModel() {
            return name.startsWith("rare") ? "rare" : "usual";
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            if (freeSlots == 0) {
                return DispatchResult.NO_TARGET;
            }
            freeSlots--;
            dispatched.add(name);
            return DispatchResult.SENT;
        }

        @Override
        public void reject(long nowMillis) {
            rejected.add(name);
        }
    }

    @Test
    void higherTierGoesFirstThenTheEarlier() {
        RequestQueue line = new RequestQueue(10);
        line.add(new TestRequest("school", 2, 1_000), 0);
        line.add(new TestRequest("inspector-1", 0, 1_000), 1);
        line.add(new TestRequest("inspector-2", 0, 1_000), 2);
        freeSlots = 2;
        line.advance(10);
        assertThat(dispatched, contains("inspector-1", "inspector-2"));
        assertThat(line.size(), is(1));
    }

    /**
     * A burst has left requests waiting that are late already. If they went first, each that follows would be late too.
     */
    @Test
    void requestThatCanBeOnTimeGoesBeforeOneThatIsLate() {
        RequestQueue line = new RequestQueue(10);
        line.add(new TestRequest("late", 1, 1_000), 0);
        line.add(new TestRequest("on-time", 1, 2_000), 600);
        freeSlots = 1;
        line.advance(700);
        assertThat(dispatched, contains("on-time"));
    }

    /**
     * More requests wait than the process keeps. The newcomer may be an inspector's; the one to go is the last of the
     * lowest tier, or a higher tier would be shed while a lower one is kept.
     */
    @Test
    void overflowPushesOutTheLowestTier() {
        RequestQueue line = new RequestQueue(2);
        line.add(new TestRequest("school-1", 2, 1_000), 0);
        line.add(new TestRequest("school-2", 2, 1_000), 0);
        line.add(new TestRequest("inspector", 0, 1_000), 0);
        assertThat(rejected, contains("school-2"));
        assertThat(line.size(), is(2));
    }

    /**
     * More is asked than the targets bear, for twenty seconds. Each request that is kept for its whole patience and
     * refused then has lost that second, and its caller comes back a second later into the same line.
     */
    @Test
    void standingLineKeepsRequestsForAShortTimeOnly() {
        RequestQueue line = new RequestQueue(10);
        line.add(new TestRequest("first", 1, 1_000), 0);
        line.add(new TestRequest("second", 1, 3_800), 900);
        line.advance(949);
        assertThat(rejected, is(List.of()));
        line.add(new TestRequest("third", 1, 5_000), 949);
        line.advance(1_000);
        assertThat(rejected, containsInAnyOrder("first", "second"));
        line.advance(1_249);
        assertThat(line.size(), is(1));
        line.advance(1_250);
        assertThat(rejected, containsInAnyOrder("first", "second", "third"));
    }

    /**
     * A long summary waits for a fast engine while slow ones have room. However long the line has stood, it is not
     * refused for want of slots: it goes to a slow engine once it cannot be on time any more.
     */
    @Test
    void requestHeldForABetterTargetIsNotRefusedByAStandingLine() {
        RequestQueue line = new RequestQueue(10);
        line.add(new TestRequest("usual", 1, 1_500), 0);
        line.add(
                new TestRequest("held", 1, 4_000) {
                    @Override
                    public DispatchResult tryDispatch(long nowMillis) {
                        return DispatchResult.HELD;
                    }
                },
                0);
        line.advance(1_100);
        assertThat(rejected, contains("usual"));
        assertThat(line.size(), is(1));
    }

    /** A short burst leaves some requests waiting. The line has emptied since, so the next ones get their full time. */
    @Test
    void lineThatWasWorkedOffStandsNoMore() {
        RequestQueue line = new RequestQueue(10);
        line.add(new TestRequest("first", 1, 5_000), 0);
        line.advance(900);
        freeSlots = 1;
        line.advance(910);
        line.add(new TestRequest("second", 1, 2_400), 1_300);
        line.advance(1_400);
        assertThat(rejected, is(List.of()));
        assertThat(line.backlogAgeMillis(1_400), is(100L));
    }

    @Test
    void endOfPatienceRefusesOnce() {
        RequestQueue line = new RequestQueue(2);
        line.add(new TestRequest("school", 2, 100), 0);
        line.advance(100);
        line.advance(200);
        assertThat(rejected, contains("school"));
        assertThat(line.size(), is(0));
    }

    /**
     * A request finds its connection refused while the line is being worked off and comes back into it at once. It must
     * neither be lost nor counted twice.
     */
    @Test
    void requestThatComesBackWhileTheLineAdvancesIsKept() {
        RequestQueue line = new RequestQueue(10);
        QueuedRequest returning = new TestRequest("returning", 1, 1_000) {
            @Override
            public DispatchResult tryDispatch(long nowMillis) {
                if (dispatched.isEmpty()) {
                    dispatched.add("returning");
                    line.add(this, nowMillis);
                    return DispatchResult.SENT;
                }
                return DispatchResult.NO_TARGET;
            }
        };
        line.add(returning, 0);
        line.advance(10);
        assertThat(line.size(), is(1));
        line.advance(1_000);
        assertThat(rejected, contains("returning"));
    }

    /**
     * The few engines of a rare model are all full and its requests fill the head of the line. Requests for other
     * models have free engines and must not wait behind them until those run out of patience.
     */
    @Test
    void requestsForAFullModelDoNotHoldUpThoseForAnother() {
        RequestQueue line = new RequestQueue(100);
        for (int i = 0; i < 10; i++) {
            line.add(new FullModelRequest("rare-" + i), 0);
        }
        line.add(new TestRequest("usual", 1, 1_000), 5);
        freeSlots = 1;
        line.advance(10);
        assertThat(dispatched, contains("usual"));
    }

    /** Hundreds wait for full engines. Trying each of them at each freed slot would take the whole processor. */
    @Test
    void fewOfManyAlikeAreTriedAtOnce() {
        RequestQueue line = new RequestQueue(1_000);
        int[] tries = new int[1];
        for (int i = 0; i < 500; i++) {
            line.add(
                    new TestRequest("usual-" + i, 1, 1_000) {
                        @Override
                        public DispatchResult tryDispatch(long nowMillis) {
                            tries[0]++;
                            return DispatchResult.NO_TARGET;
                        }
                    },
                    0);
        }
        line.advance(10);
        assertThat(tries[0], is(3));
        assertThat(line.size(), is(500));
    }

    /**
     * Some long prompts wait for the slot of a fast engine. A shorter one behind them could go to a slow engine that
     * stands free, and must not be passed over because of them.
     */
    @Test
    void requestsThatWaitForABetterTargetDoNotHoldUpThoseBehindThem() {
        RequestQueue line = new RequestQueue(100);
        for (int i = 0; i < 10; i++) {
            line.add(
                    new TestRequest("long-" + i, 1, 1_000) {
                        @Override
                        public DispatchResult tryDispatch(long nowMillis) {
                            return DispatchResult.HELD;
                        }
                    },
                    0);
        }
        line.add(new TestRequest("short", 1, 1_000), 5);
        freeSlots = 1;
        line.advance(10);
        assertThat(dispatched, contains("short"));
        assertThat(line.size(), is(10));
    }

    private final class FullModelRequest extends TestRequest {
        FullModelRequest(String name) {
            super(name, 1, 1_000);
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            return DispatchResult.NO_TARGET;
        }
    }
}
