package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.share.OrganisationShares;
import org.whinwharf.traffic.share.OrganisationWeights;
import org.whinwharf.traffic.share.ShareCharge;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;

/** Queues of requests that this process places itself, one queue per service; coordinated requests queue elsewhere. */
final class LocalQueues {
    /** Maximum queue length of one service; in fleets of the size in use, longer queues would exceed queue timeouts. */
    private static final int MAX_QUEUED = 256;

    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final DoubleSupplier random;
    private final Policy policy;
    private final OrganisationWeights weights;
    private final Map<String, RequestQueue> queues = new HashMap<>();
    private final Map<String, OrganisationShares> shares = new HashMap<>();
    private final Set<String> scheduledServices = new HashSet<>();

    LocalQueues(EventLoopGroup loop, Ticker ticker, DoubleSupplier random, Policy policy, OrganisationWeights weights) {
        this.loop = loop;
        this.ticker = ticker;
        this.random = random;
        this.policy = policy;
        this.weights = weights;
    }

    RequestQueue queueOf(String service) {
        return queues.computeIfAbsent(service, name -> new RequestQueue(MAX_QUEUED, policy, sharesOf(name)));
    }

    private OrganisationShares sharesOf(String service) {
        return shares.computeIfAbsent(service, name -> new OrganisationShares(weights));
    }

    /** Charges a request that this process has placed to the share of its organisation. */
    ShareCharge charge(String service, QueuedRequest request) {
        return sharesOf(service).charge(request.tierRank(), request, ticker.nowMillis());
    }

    /** Returns the total number of queued requests. */
    int size() {
        return queues.values().stream().mapToInt(RequestQueue::size).sum();
    }

    /** Dispatches or rejects queued requests. */
    void advance(long nowMillis) {
        shares.values().forEach(ofService -> ofService.advance(nowMillis));
        queues.values().forEach(queue -> queue.advance(nowMillis));
    }

    /** Tries to dispatch the queued requests of a service with a freed slot, once the current event is handled. */
    void slotFreed(String service) {
        if (queueOf(service).size() > 0 && scheduledServices.add(service)) {
            loop.execute(() -> {
                scheduledServices.remove(service);
                queueOf(service).advance(ticker.nowMillis());
            });
        }
    }

    /** Returns the Retry-After delay in milliseconds for a rejected request of a service. */
    long retryAfterMillis(String service) {
        return QueueTimeouts.retryAfterMillis(
                queueOf(service).backlogAgeMillis(ticker.nowMillis()), random.getAsDouble());
    }
}
