package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.share.OrganisationShares;
import org.whinwharf.traffic.share.OrganisationWeights;
import org.whinwharf.traffic.share.ShareCharge;
import org.whinwharf.traffic.share.SharedRequest;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;

class OrganisationSharesTest {
    private static final int RANK = 1;
    private static final int SLOTS = 4;

    private final OrganisationWeights weights = new OrganisationWeights();
    private final OrganisationShares shares = new OrganisationShares(weights);
    private final List<Request> dispatched = new ArrayList<>();
    private final List<Request> rejected = new ArrayList<>();
    private final Map<Request, ShareCharge> charges = new HashMap<>();
    private int freeSlots;

    private final class Request implements QueuedRequest {
        private final int organisation;
        private final long slotMillis;
        private final long arrivedAtMillis;

        Request(int organisation, long slotMillis, long arrivedAtMillis) {
            this.organisation = organisation;
            this.slotMillis = slotMillis;
            this.arrivedAtMillis = arrivedAtMillis;
        }

        @Override
        public int organisationDigest() {
            return organisation;
        }

        @Override
        public double expectedSlotMillis() {
            return slotMillis;
        }

        @Override
        public int tierRank() {
            return RANK;
        }

        @Override
        public long queueTimeoutAtMillis() {
            return arrivedAtMillis + 100_000;
        }

        @Override
        public long backlogTimeoutAtMillis() {
            return queueTimeoutAtMillis();
        }

        @Override
        public long onTimeUntilMillis() {
            return queueTimeoutAtMillis();
        }

        @Override
        public long orderMillis() {
            return arrivedAtMillis;
        }

        @Override
        public String requiredModel() {
            return "";
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            if (freeSlots == 0) {
                return DispatchResult.NO_TARGET;
            }
            freeSlots--;
            dispatched.add(this);
            charges.put(this, shares.charge(RANK, this, nowMillis));
            return DispatchResult.SENT;
        }

        @Override
        public void reject(long nowMillis) {
            rejected.add(this);
        }
    }

    private RequestQueue queue(int maxQueued) {
        return new RequestQueue(maxQueued, Policy.ALL_ENABLED, shares);
    }

    /**
     * Random arrivals at four slots: no slot is free while a request waits, every request is served, and two
     * organisations that both have requests waiting get the same slot time, up to the requests in flight.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void sharesAreBoundedUnderRandomArrivals(long seed) {
        Random random = new Random(seed);
        RequestQueue queue = queue(100_000);
        int organisations = 2 + random.nextInt(6);
        long[] maxSlotMillis = new long[organisations + 1];
        double[] perMilli = new double[organisations + 1];
        for (int i = 1; i <= organisations; i++) {
            maxSlotMillis[i] = 100 + random.nextInt(300);
            perMilli[i] = random.nextDouble() * 0.02;
        }
        // Two organisations ask for more than all slots.
        perMilli[1] = SLOTS * 1.6 / maxSlotMillis[1];
        perMilli[2] = SLOTS * 1.6 / maxSlotMillis[2];
        double[] usedMillis = new double[organisations + 1];
        Map<Request, Long> running = new HashMap<>();
        freeSlots = SLOTS;
        int sent = 0;
        for (long nowMillis = 0; nowMillis < 4_000; nowMillis++) {
            for (int i = 1; i <= organisations; i++) {
                if (random.nextDouble() < perMilli[i]) {
                    sent++;
                    queue.add(new Request(i, 1 + random.nextInt((int) maxSlotMillis[i]), nowMillis), nowMillis);
                }
            }
            step(queue, running, usedMillis, nowMillis);
            assertThat("free slots while requests wait", freeSlots == 0 || queue.size() == 0, is(true));
        }
        double difference = Math.abs(usedMillis[1] - usedMillis[2]);
        double bound = 1_000 + (SLOTS + 1) * (double) (maxSlotMillis[1] + maxSlotMillis[2]);
        assertThat(difference, lessThanOrEqualTo(bound));
        for (int i = 3; i <= organisations; i++) {
            double excess = usedMillis[i] - Math.max(usedMillis[1], usedMillis[2]);
            assertThat(excess, lessThanOrEqualTo(1_000.0 + (SLOTS + 1) * (maxSlotMillis[i] + 400)));
        }
        for (long nowMillis = 4_000; queue.size() > 0 && nowMillis < 95_000; nowMillis += 5) {
            step(queue, running, usedMillis, nowMillis);
        }
        assertThat(dispatched.size(), is(sent));
    }

    private void step(RequestQueue queue, Map<Request, Long> running, double[] usedMillis, long nowMillis) {
        running.entrySet().removeIf(entry -> {
            boolean ended = entry.getValue() + entry.getKey().slotMillis <= nowMillis;
            if (ended) {
                charges.remove(entry.getKey()).ended(nowMillis);
                freeSlots++;
            }
            return ended;
        });
        int before = dispatched.size();
        shares.advance(nowMillis);
        queue.advance(nowMillis);
        dispatched.subList(before, dispatched.size()).forEach(request -> running.put(request, nowMillis));
        running.keySet().forEach(request -> usedMillis[request.organisation]++);
    }

    /** One organisation only: its requests are served in the order without shares. */
    @Test
    void orderOfOneOrganisationIsThatOfArrival() {
        RequestQueue queue = queue(100);
        List<Request> sent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Request request = new Request(1, 1 + i * 37 % 11, i);
            sent.add(request);
            queue.add(request, i);
        }
        freeSlots = 20;
        queue.advance(20);
        assertThat(dispatched, is(sent));
    }

    /** The queue is full with the requests of one organisation: it loses its last request, not the one that arrives. */
    @Test
    void fullQueueEvictsTheOrganisationFurthestBeyondItsShare() {
        RequestQueue queue = queue(10);
        Request last = null;
        for (int i = 0; i < 10; i++) {
            last = new Request(1, 100, i);
            queue.add(last, i);
        }
        queue.add(new Request(2, 100, 10), 10);
        assertThat(rejected, is(List.of(last)));
        assertThat(queue.queuedAhead(new Request(3, 100, 11), 11), is(2));
        assertThat(queue.queuedAhead(new Request(1, 100, 11), 11), is(10));
    }

    /** A queue of one organisation stands for seconds: that shortens its own timeouts and not those of the others. */
    @Test
    void backlogOfOneOrganisationDoesNotShortenTheTimeoutsOfOthers() {
        RequestQueue queue = queue(100);
        shares.charge(RANK, new Request(2, 1, 0), 0).ended(0);
        for (int i = 0; i < 50; i++) {
            queue.add(new Request(1, 100, 0), 0);
        }
        for (long nowMillis = 0; nowMillis < 2_000; nowMillis += 20) {
            freeSlots = nowMillis % 80 == 0 ? 1 : 0;
            queue.advance(nowMillis);
        }
        ShortTimeout own = new ShortTimeout(1);
        ShortTimeout other = new ShortTimeout(2);
        assertThat(queue.effectiveTimeoutAtMillis(own, 2_000), is(2_100L));
        assertThat(queue.effectiveTimeoutAtMillis(other, 2_000), is(3_000L));
    }

    private static final class ShortTimeout implements QueuedRequest {
        private final int organisation;

        ShortTimeout(int organisation) {
            this.organisation = organisation;
        }

        @Override
        public int organisationDigest() {
            return organisation;
        }

        @Override
        public int tierRank() {
            return RANK;
        }

        @Override
        public long queueTimeoutAtMillis() {
            return 3_000;
        }

        @Override
        public long backlogTimeoutAtMillis() {
            return 2_100;
        }

        @Override
        public long onTimeUntilMillis() {
            return 2_400;
        }

        @Override
        public long orderMillis() {
            return 2_000;
        }

        @Override
        public String requiredModel() {
            return "";
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            return DispatchResult.NO_TARGET;
        }

        @Override
        public void reject(long nowMillis) {}
    }

    /** The quota of one organisation is three times that of the other: it gets three times the slot time. */
    @Test
    void weightsFollowTheQuotas() {
        weights.update(Fixtures.catalogWithQuotas(Map.of("large", 300.0, "small", 100.0)));
        int large = "large".hashCode();
        int small = "small".hashCode();
        RequestQueue queue = queue(1_000);
        for (int i = 0; i < 400; i++) {
            queue.add(new Request(large, 100, i), i);
            queue.add(new Request(small, 100, i), i);
        }
        freeSlots = 200;
        queue.advance(400);
        long ofLarge = dispatched.stream()
                .filter(request -> request.organisation == large)
                .count();
        // Both had the same credit, which is 20 requests of the larger and 6 of the smaller.
        assertThat(Math.abs(ofLarge - 150), lessThan(3L));
    }

    /** 31,000 organisations send one request each: their accounts are dropped within seconds. */
    @Test
    void accountsOfIdleOrganisationsAreDropped() {
        for (int i = 1; i <= 31_000; i++) {
            SharedRequest request = new Request(i, 100, i);
            shares.charge(RANK, request, i).ended(i + 100);
            shares.advance(i);
        }
        assertThat(shares.accountCount(), lessThan(7_000));
        shares.advance(38_000);
        assertThat(shares.accountCount(), is(0));
    }

    /**
     * A standby that has received the lists of one second must tell the same organisations to be beyond their share.
     */
    @Test
    void standbyAgreesWithTheCoordinatorAfterOneSecondOfLists() {
        OrganisationShares standby = new OrganisationShares(weights);
        Request flood = new Request(1, 250, 0);
        Request small = new Request(2, 250, 0);
        for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 250) {
            for (int slot = 0; slot < 10; slot++) {
                shares.charge(RANK, flood, nowMillis).ended(nowMillis + 250);
            }
            shares.charge(RANK, small, nowMillis).ended(nowMillis + 250);
        }
        for (int slot = 0; slot < 10; slot++) {
            standby.observe(RANK, 1, 1_000, 5_000);
        }
        standby.observe(RANK, 2, 1_000, 5_000);
        standby.advance(5_000);
        for (OrganisationShares known : List.of(shares, standby)) {
            assertThat(known.isWithinShare(RANK, flood), is(false));
            assertThat(known.isWithinShare(RANK, small), is(true));
        }
    }

    /** An organisation beyond its share learns when its queued requests are served, the others that there is room. */
    @Test
    void roomInAShareFollowsItsOwnQueue() {
        RequestQueue queue = queue(1_000);
        for (int i = 0; i < 500; i++) {
            queue.add(new Request(1, 100, 0), 0);
            queue.add(new Request(2, 100, 0), 0);
        }
        // Ten requests a second are served: half a second of slot time for each organisation.
        for (long nowMillis = 0; nowMillis <= 20_000; nowMillis += 100) {
            freeSlots = 1;
            shares.advance(nowMillis);
            queue.advance(nowMillis);
        }
        long waitMillis = shares.roomInMillis(RANK, 1);
        assertThat(Math.abs(waitMillis - 80_000), lessThan(4_000L));
        assertThat(shares.roomInMillis(RANK, 3), is(0L));
    }
}
