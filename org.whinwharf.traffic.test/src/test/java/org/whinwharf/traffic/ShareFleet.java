package org.whinwharf.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.ImmutableCoordinatorDependencies;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Six targets of four slots, two coordinators of which one is in use, and organisations with Poisson arrivals, on a
 * clock driven by the test.
 */
final class ShareFleet {
    private static final String FRONT = "front-1";
    private static final int TARGETS = 6;
    private static final int SLOTS = 4;
    static final int CAPACITY = TARGETS * SLOTS;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final long ADVANCE_INTERVAL_MILLIS = 20;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final Map<Long, Sender> senders = new HashMap<>();
    private final Map<Long, RunningRequests.Run> inFlight = new HashMap<>();
    private final Map<String, Sender> organisations = new TreeMap<>();
    private final Replica first;
    private final Replica second;
    private final Random random;
    private Replica current;
    private long lastId;
    private long nowMillis;

    private record End(long atMillis, long id, Replica replica) {}

    /** An organisation that sends requests at a rate. */
    static final class Sender {
        private final String name;
        private final long slotMillis;
        private final long answerTokens;
        private double perSecond;
        private double nextMillis;
        private final List<Long> grantWaitsMillis = new ArrayList<>();
        private final Map<Long, Long> sentAtMillis = new HashMap<>();
        private int sent;
        private int granted;
        private int refused;
        private long retryAfterMillis;
        private int running;
        private long usedMillis;

        private Sender(String name, double perSecond, long slotMillis, long answerTokens) {
            this.name = name;
            this.perSecond = perSecond;
            this.slotMillis = slotMillis;
            this.answerTokens = answerTokens;
        }

        double grantedShare() {
            return (double) granted / sent;
        }

        int granted() {
            return granted;
        }

        int sent() {
            return sent;
        }

        int refused() {
            return refused;
        }

        /** Returns the mean delay after which its refused requests were to be repeated. */
        double meanRetryAfterMillis() {
            return (double) retryAfterMillis / refused;
        }

        /** Returns the slot time used since the last reset, in milliseconds. */
        long usedMillis() {
            return usedMillis;
        }

        void changeRate(double newPerSecond, long nowMillis) {
            perSecond = newPerSecond;
            nextMillis = nowMillis;
        }

        void reset() {
            sent = 0;
            granted = 0;
            refused = 0;
            retryAfterMillis = 0;
            usedMillis = 0;
        }
    }

    ShareFleet(long seed, Policy policy) {
        random = new Random(seed);
        first = new Replica("front-0", policy);
        second = new Replica("front-2", policy);
        current = first;
    }

    /** Adds an organisation whose requests hold a slot for a time, which their declared length may not show. */
    Sender add(String name, double perSecond, long slotMillis, long answerTokens) {
        Sender sender = new Sender(name, perSecond, slotMillis, answerTokens);
        sender.nextMillis = nowMillis;
        organisations.put(name, sender);
        return sender;
    }

    Sender organisation(String name) {
        return organisations.get(name);
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the number of slots in use. */
    int running() {
        return inFlight.size();
    }

    int queued() {
        return current.coordinator.queuedRequests();
    }

    double largestUseRatio() {
        return current.coordinator.largestUseRatio();
    }

    /** Returns what the process that would coordinate next knows of the largest use. */
    double standbyUseRatio() {
        return second.coordinator.largestUseRatio();
    }

    int limitedOrganisations() {
        return current.coordinator.limitedOrganisations();
    }

    void resetCounts() {
        organisations.values().forEach(Sender::reset);
    }

    /** The coordinator is lost with its queue; the standby takes over, and the runs go on. */
    void killCoordinator() {
        current = second;
    }

    /** Advances the clock by a number of milliseconds. */
    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
            while (!ends.isEmpty() && ends.peek().atMillis() <= nowMillis) {
                end(ends.poll());
            }
            organisations.values().forEach(this::send);
            organisations.values().forEach(sender -> sender.usedMillis += sender.running);
            if (nowMillis % ADVANCE_INTERVAL_MILLIS == 0) {
                current.coordinator.advance(nowMillis);
                if (current == first) {
                    second.coordinator.advance(nowMillis);
                }
            }
            if (nowMillis % REPORT_INTERVAL_MILLIS == REPORT_INTERVAL_MILLIS - 1) {
                if (current == first) {
                    first.coordinator.reportInFlight(FRONT, "summaries", Map.copyOf(inFlight), nowMillis);
                }
                second.coordinator.reportInFlight(FRONT, "summaries", Map.copyOf(inFlight), nowMillis);
            }
        }
    }

    private void end(End end) {
        senders.remove(end.id()).running--;
        inFlight.remove(end.id());
        if (end.replica() == current) {
            current.coordinator.reportProgress(FRONT, end.id(), RunEvent.RUN_ANSWERED, 0, nowMillis);
        }
    }

    private void send(Sender sender) {
        while (sender.perSecond > 0 && sender.nextMillis <= nowMillis) {
            sender.nextMillis += -Math.log(1 - random.nextDouble()) * 1_000 / sender.perSecond;
            request(sender);
        }
    }

    /** Sends one request of an organisation. */
    void request(Sender sender) {
        long id = ++lastId;
        sender.sent++;
        senders.put(id, sender);
        current.coordinator.requestPlacement(
                ImmutablePlacementRequest.builder()
                        .requester(FRONT)
                        .id(id)
                        .demand(ImmutableDemand.copyOf(Fixtures.demand(1, 600, "s" + id))
                                .withMaxAnswerTokens(sender.answerTokens))
                        .deadlineAtMillis(nowMillis + 12_000)
                        .queueTimeoutAtMillis(nowMillis + 2 * OBJECTIVE_MILLIS)
                        .onTimeUntilMillis(nowMillis + OBJECTIVE_MILLIS * 4 / 5)
                        .chargedOrganisation(sender.name)
                        .build(),
                nowMillis);
    }

    /** One of the two processes that may coordinate, with its own view of the targets. */
    private final class Replica extends NoOpCoordinatorListener {
        private final Map<String, TargetState> targets = new LinkedHashMap<>();
        private final Coordinator coordinator;

        Replica(String name, Policy policy) {
            for (int i = 0; i < TARGETS; i++) {
                targets.put("target-" + i, new TargetState(Fixtures.target("target-" + i, SLOTS)));
            }
            PromptCacheIndex promptCache = new PromptCacheIndex();
            coordinator = new Coordinator(ImmutableCoordinatorDependencies.builder()
                    .localName(name)
                    .targetSelector(new TargetSelector(promptCache, target -> 0, () -> 0))
                    .promptCache(promptCache)
                    .targets(service -> targets.values())
                    .evacuatedDataCentres(Set::of)
                    .quotas(new QuotaLedger(true))
                    .decisionListener(this)
                    .targetOutcomeListener(this)
                    .loadListener(
                            (id, load) -> targets.get(id).updateCoordinatedLoad(load.running(), load.prefillTokens()))
                    .policy(policy)
                    .build());
        }

        @Override
        public void granted(PlacementRequest request, Candidate candidate) {
            Sender sender = senders.get(request.id());
            sender.granted++;
            sender.running++;
            inFlight.put(
                    request.id(),
                    new RunningRequests.Run(
                            candidate.state().target().id(),
                            0,
                            Optional.empty(),
                            sender.name.hashCode(),
                            request.demand().tierRank()));
            ends.add(new End(nowMillis + sender.slotMillis, request.id(), this));
        }

        @Override
        public void shed(PlacementRequest request, RejectionDetails details) {
            Sender sender = senders.remove(request.id());
            sender.refused++;
            sender.retryAfterMillis += details.retryAfterMillis();
        }
    }
}
