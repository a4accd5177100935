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

/** Requests that wait in this process, one line for each service; those that a coordinator places wait there. */
final class LocalQueues {
    /** Requests of one service that may wait here; at the size in use more would outwait their patience. */
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

    /** Returns how many requests wait. */
    int size() {
        return queues.values().stream().mapToInt(RequestQueue::size).sum();
    }

    /** Sends and refuses what waits. */
    void advance(long nowMillis) {
        queues.values().forEach(line -> line.advance(nowMillis));
    }

    /** Tries waiting requests after a place was freed, once the present event is done with. */
    void slotFreed(String service) {
        if (queueOf(service).size() > 0 && scheduledServices.add(service)) {
            loop.execute(() -> {
                scheduledServices.remove(service);
                queueOf(service).advance(ticker.nowMillis());
            });
        }
    }

    /** Returns when a refused caller should come back. */
    long retryAfterMillis(String service) {
        return QueueTimeouts.retryAfterMillis(
                queueOf(service).backlogAgeMillis(ticker.nowMillis()), random.getAsDouble());
    }
}
