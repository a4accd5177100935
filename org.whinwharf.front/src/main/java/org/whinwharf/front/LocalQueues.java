package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.RequestQueue;

/** Queues of requests that this process places itself, one queue per service; coordinated requests queue elsewhere. */
final class LocalQueues {
    /** Maximum queue length of one service; in fleets of the size in use, longer queues would exceed queue timeouts. */
    private static final int MAX_QUEUED = 256;

    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final DoubleSupplier random;
    private final Policy policy;
    private final Map<String, RequestQueue> queues = new HashMap<>();
    private final Set<String> scheduledServices = new HashSet<>();

    LocalQueues(EventLoopGroup loop, Ticker ticker, DoubleSupplier random, Policy policy) {
        this.loop = loop;
        this.ticker = ticker;
        this.random = random;
        this.policy = policy;
    }

    RequestQueue queueOf(String service) {
        return queues.computeIfAbsent(service, name -> new RequestQueue(MAX_QUEUED, policy));
    }

    /** Returns the total number of queued requests. */
    int size() {
        return queues.values().stream().mapToInt(RequestQueue::size).sum();
    }

    /** Dispatches or rejects queued requests. */
    void advance(long nowMillis) {
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
