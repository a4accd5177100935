package org.whinwharf.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.owner.queue.SliceQueue;
import org.whinwharf.owner.queue.WaitingRequest;

class QueueOrderTest {
    private final SliceQueue queue = new SliceQueue();

    @Test
    void higherTierIsServedFirstRegardlessOfArrival() {
        queue.add(Fixtures.waiting(1, 0, "o", 10, 0));
        queue.add(Fixtures.waiting(2, 2, "o", 1000, 500));
        queue.add(Fixtures.waiting(3, 1, "p", 10, 100));
        assertThat(ids(serve(3)), is(List.of(2L, 3L, 1L)));
    }

    @Test
    void shortAnswersOvertakeALongOneThatArrivedBefore() {
        queue.add(Fixtures.waiting(1, 0, "o", 5000, 0));
        for (long request = 2; request <= 101; request++) {
            queue.add(Fixtures.waiting(request, 0, "o", 20, request));
        }
        List<WaitingRequest> served = serve(101);
        assertThat(served.get(100).request(), is(1L));
    }

    // If only length counted, short requests that keep arriving would delay a long one for ever.
    @Test
    void longAnswerIsOvertakenForABoundedTimeOnly() {
        queue.add(Fixtures.waiting(1, 0, "o", 1000, 0));
        long servedAtMillis = 0;
        for (long nowMillis = 0; queue.size() == 1 || serve(1).get(0).request() != 1; nowMillis += 100) {
            queue.add(Fixtures.waiting(nowMillis + 2, 0, "o", 20, nowMillis));
            queue.add(Fixtures.waiting(nowMillis + 3, 0, "o", 20, nowMillis));
            servedAtMillis = nowMillis;
        }
        assertThat(servedAtMillis, lessThan(12_000L));
    }

    // A short request arrives while many long ones of its tier wait. If the predicted wait counted all of them, the
    // request would be refused as hopeless although it is among the next to be served.
    @Test
    void predictedCostCountsOnlyRequestsServedBefore() {
        for (long request = 1; request <= 50; request++) {
            queue.add(Fixtures.waiting(request, 1, "long", 1000, request));
        }
        queue.add(Fixtures.waiting(60, 2, "above", 300, 60));
        queue.add(Fixtures.waiting(61, 0, "below", 700, 61));
        WaitingRequest shortRequest = Fixtures.waiting(70, 1, "short", 20, 70);
        long fairShareOfOther = Math.max(shortRequest.cost(), 0);
        assertThat(queue.costBefore(shortRequest), is(queue.costAhead(2) + fairShareOfOther));
    }

    @Test
    void organisationsShareByCostNotByRequestCount() {
        for (long request = 0; request < 400; request++) {
            queue.add(Fixtures.waiting(request, 0, "long", 984, request));
            queue.add(Fixtures.waiting(1000 + request, 0, "short", 84, request));
        }
        double longCost = 0;
        double shortCost = 0;
        for (WaitingRequest waiting : serve(220)) {
            if (waiting.organisation().equals("long")) {
                longCost += waiting.cost();
            } else {
                shortCost += waiting.cost();
            }
        }
        assertThat(longCost / shortCost, closeTo(1, 0.1));
    }

    @Test
    void idleOrganisationAccumulatesNoCredit() {
        for (long request = 0; request < 100; request++) {
            queue.add(Fixtures.waiting(request, 0, "busy", 84, request));
        }
        serve(50);
        for (long request = 200; request < 300; request++) {
            queue.add(Fixtures.waiting(request, 0, "late", 84, request));
        }
        long lateCount = serve(20).stream()
                .filter(waiting -> waiting.organisation().equals("late"))
                .count();
        assertThat((double) lateCount, closeTo(10, 1));
    }

    @Test
    void lowestTierIsShedFirst() {
        queue.add(Fixtures.waiting(1, 1, "o", 10, 0));
        queue.add(Fixtures.waiting(2, 0, "o", 10, 0));
        queue.add(Fixtures.waiting(3, 2, "o", 10, 0));
        assertThat(queue.victim().orElseThrow().request(), is(2L));
        assertThat(ids(queue.belowRank(2)), is(List.of(1L, 2L)));
    }

    private List<WaitingRequest> serve(int count) {
        List<WaitingRequest> served = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WaitingRequest next = queue.next(any -> true).orElseThrow();
            queue.removeGranted(next);
            served.add(next);
        }
        return served;
    }

    private static List<Long> ids(List<WaitingRequest> waiting) {
        return waiting.stream().map(WaitingRequest::request).toList();
    }
}
