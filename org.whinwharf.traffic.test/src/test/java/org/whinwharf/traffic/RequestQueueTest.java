package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;

class RequestQueueTest {
    private final List<String> dispatched = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private int freeSlots;

    private class TestRequest implements QueuedRequest {
        private final String name;
        private final int tierRank;
        private final long timeoutAtMillis;
        private long orderMillis;

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
        public long orderMillis() {
            return orderMillis;
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

    /** Guards against a queue that is lost, since what its requests need changes while they are sorted. */
    @Test
    void requestsWhoseNeedsChangeMeanwhileAreKept() {
        int requests = 200;
        RequestQueue queue = new RequestQueue(requests);
        Random random = new Random(1);
        for (int i = 0; i < requests; i++) {
            queue.add(
                    new TestRequest("changing-" + i, 1, 1_000) {
                        @Override
                        public boolean needsOneVersion() {
                            return random.nextBoolean();
                        }
                    },
                    0);
        }
        for (int pass = 0; pass < 20; pass++) {
            queue.advance(pass);
        }
        freeSlots = requests;
        queue.advance(20);
        assertThat(dispatched.size(), is(requests));
    }

    /** Guards against long requests that keep the slot from a short one of the same rank that arrives just after. */
    @Test
    void shortRequestsHaveABoundedHeadStart() {
        RequestQueue queue = new RequestQueue(100);
        queue.add(ordered("long-1", 0), 0);
        queue.add(ordered("long-2", 50), 50);
        queue.add(ordered("short", 70 - 60), 70);
        freeSlots = 2;
        queue.advance(100);
        assertThat(dispatched, contains("long-1", "short"));
        assertThat(queue.queuedAhead(ordered("next", 80), 100), is(1));
        assertThat(queue.queuedAhead(ordered("next short", 80 - 60), 100), is(0));
    }

    private TestRequest ordered(String name, long orderMillis) {
        TestRequest request = new TestRequest(name, 1, 1_000);
        request.orderMillis = orderMillis;
        return request;
    }

    @Test
    void higherTierGoesFirstThenTheEarlier() {
        RequestQueue queue = new RequestQueue(10);
        queue.add(new TestRequest("school", 2, 1_000), 0);
        queue.add(new TestRequest("inspector-1", 0, 1_000), 1);
        queue.add(new TestRequest("inspector-2", 0, 1_000), 2);
        freeSlots = 2;
        queue.advance(10);
        assertThat(dispatched, contains("inspector-1", "inspector-2"));
        assertThat(queue.size(), is(1));
    }

    /**
     * A burst has left late requests in the queue. If they were served first, every later request would be late too.
     */
    @Test
    void requestThatCanBeOnTimeGoesBeforeOneThatIsLate() {
        RequestQueue queue = new RequestQueue(10);
        queue.add(new TestRequest("late", 1, 1_000), 0);
        queue.add(new TestRequest("on-time", 1, 2_000), 600);
        freeSlots = 1;
        queue.advance(700);
        assertThat(dispatched, contains("on-time"));
    }

    /**
     * The queue exceeds its limit. The new request may be of a higher tier, so the last request of the lowest tier is
     * evicted. Otherwise a higher tier would be shed while a lower one stays queued.
     */
    @Test
    void overflowEvictsTheLowestTier() {
        RequestQueue queue = new RequestQueue(2);
        queue.add(new TestRequest("school-1", 2, 1_000), 0);
        queue.add(new TestRequest("school-2", 2, 1_000), 0);
        queue.add(new TestRequest("inspector", 0, 1_000), 0);
        assertThat(rejected, contains("school-2"));
        assertThat(queue.size(), is(2));
    }

    /**
     * The load exceeds the capacity of the targets for twenty seconds. A request that is rejected only after its full
     * queue timeout has lost that second, and its caller retries a second later into the same backlog.
     */
    @Test
    void backlogShortensQueueTimeouts() {
        RequestQueue queue = new RequestQueue(10);
        queue.add(new TestRequest("first", 1, 1_000), 0);
        queue.add(new TestRequest("second", 1, 3_800), 900);
        queue.advance(949);
        assertThat(rejected, is(List.of()));
        queue.add(new TestRequest("third", 1, 5_000), 949);
        queue.advance(1_000);
        assertThat(rejected, containsInAnyOrder("first", "second"));
        queue.advance(1_249);
        assertThat(queue.size(), is(1));
        queue.advance(1_250);
        assertThat(rejected, containsInAnyOrder("first", "second", "third"));
    }

    /**
     * A long request waits for a fast engine while slow ones have free slots. A backlog of any age must not cause its
     * rejection for lack of slots: it is sent to a slow engine once it can no longer be on time.
     */
    @Test
    void requestHeldForABetterTargetIsNotRejectedByABacklog() {
        RequestQueue queue = new RequestQueue(10);
        queue.add(new TestRequest("usual", 1, 1_500), 0);
        queue.add(
                new TestRequest("held", 1, 4_000) {
                    @Override
                    public DispatchResult tryDispatch(long nowMillis) {
                        return DispatchResult.HELD;
                    }
                },
                0);
        queue.advance(1_100);
        assertThat(rejected, contains("usual"));
        assertThat(queue.size(), is(1));
    }

    /** The queue has emptied after a short burst, so later requests get their full queue timeout. */
    @Test
    void emptiedQueueHasNoBacklog() {
        RequestQueue queue = new RequestQueue(10);
        queue.add(new TestRequest("first", 1, 5_000), 0);
        queue.advance(900);
        freeSlots = 1;
        queue.advance(910);
        queue.add(new TestRequest("second", 1, 2_400), 1_300);
        queue.advance(1_400);
        assertThat(rejected, is(List.of()));
        assertThat(queue.backlogAgeMillis(1_400), is(100L));
    }

    @Test
    void queueTimeoutRejectsOnce() {
        RequestQueue queue = new RequestQueue(2);
        queue.add(new TestRequest("school", 2, 100), 0);
        queue.advance(100);
        queue.advance(200);
        assertThat(rejected, contains("school"));
        assertThat(queue.size(), is(0));
    }

    /**
     * The connection of a request is refused during the pass over the queue, and the request is queued again at once.
     * It must neither be lost nor counted twice.
     */
    @Test
    void requestQueuedAgainDuringAdvanceIsKept() {
        RequestQueue queue = new RequestQueue(10);
        QueuedRequest returning = new TestRequest("returning", 1, 1_000) {
            @Override
            public DispatchResult tryDispatch(long nowMillis) {
                if (dispatched.isEmpty()) {
                    dispatched.add("returning");
                    queue.add(this, nowMillis);
                    return DispatchResult.SENT;
                }
                return DispatchResult.NO_TARGET;
            }
        };
        queue.add(returning, 0);
        queue.advance(10);
        assertThat(queue.size(), is(1));
        queue.advance(1_000);
        assertThat(rejected, contains("returning"));
    }

    /**
     * All engines of a rare model are full, and its requests fill the head of the queue. Requests for other models have
     * free engines and must not wait until the queue timeout of the requests ahead of them.
     */
    @Test
    void requestsForAFullModelDoNotBlockOtherModels() {
        RequestQueue queue = new RequestQueue(100);
        for (int i = 0; i < 10; i++) {
            queue.add(new FullModelRequest("rare-" + i), 0);
        }
        queue.add(new TestRequest("usual", 1, 1_000), 5);
        freeSlots = 1;
        queue.advance(10);
        assertThat(dispatched, contains("usual"));
    }

    /** Hundreds of requests wait for full engines. Trying each at each freed slot would take all processor time. */
    @Test
    void fewOfManySimilarRequestsAreTried() {
        RequestQueue queue = new RequestQueue(1_000);
        int[] attempts = new int[1];
        for (int i = 0; i < 500; i++) {
            queue.add(
                    new TestRequest("usual-" + i, 1, 1_000) {
                        @Override
                        public DispatchResult tryDispatch(long nowMillis) {
                            attempts[0]++;
                            return DispatchResult.NO_TARGET;
                        }
                    },
                    0);
        }
        queue.advance(10);
        assertThat(attempts[0], is(3));
        assertThat(queue.size(), is(500));
    }

    /**
     * Some long prompts wait for a slot of a fast engine. A shorter one behind them can be served by a free slow engine
     * and must not be skipped because of them.
     */
    @Test
    void heldRequestsDoNotBlockLaterOnes() {
        RequestQueue queue = new RequestQueue(100);
        for (int i = 0; i < 10; i++) {
            queue.add(
                    new TestRequest("long-" + i, 1, 1_000) {
                        @Override
                        public DispatchResult tryDispatch(long nowMillis) {
                            return DispatchResult.HELD;
                        }
                    },
                    0);
        }
        queue.add(new TestRequest("short", 1, 1_000), 5);
        freeSlots = 1;
        queue.advance(10);
        assertThat(dispatched, contains("short"));
        assertThat(queue.size(), is(10));
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
