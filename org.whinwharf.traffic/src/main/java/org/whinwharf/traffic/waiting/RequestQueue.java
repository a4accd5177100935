package org.whinwharf.traffic.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/**
 * Queue of the requests of one service, ordered by rank. Within a rank, resumed streams precede new requests, requests
 * that can still meet their objective precede late ones, then order of arrival decides, in which short requests have a
 * head start. A burst therefore delays some requests instead of all that follow, and few of them.
 *
 * <p>Requests are queued here instead of at an engine, because here a later request of a higher tier is still served
 * first, and a request whose caller disconnects costs nothing.
 */
public final class RequestQueue {
    /**
     * Number of requests of one rank and model that find no target before the others are skipped until the next pass.
     * The obstacle for one request usually applies to all of them, and trying several hundred at each freed slot would
     * take all of a coordinator's processor time. The limit is three because up to two of them may have already tried
     * the targets that are free.
     */
    private static final int MAX_FAILURES_PER_MODEL = 3;
    /** Age from which a backlog shortens queue timeouts; shorter bursts are served late and without rejections. */
    private static final long BACKLOG_THRESHOLD_MILLIS = 1_000;

    private final TreeMap<Integer, List<QueuedRequest>> requestsByRank = new TreeMap<>();
    private final Map<Integer, Backlog> backlogsByRank = new HashMap<>();
    private final int maxQueued;
    private final Policy policy;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param maxQueued maximum number of requests; beyond it, the last request of the lowest tier is rejected
     */
    public RequestQueue(int maxQueued) {
        this(maxQueued, Policy.ALL_ENABLED);
    }

    /**
     * Creates an empty queue with a given policy.
     *
     * @param maxQueued maximum number of requests; beyond it, the last request of the lowest tier is rejected
     * @param policy enabled mechanisms
     */
    public RequestQueue(int maxQueued, Policy policy) {
        this.maxQueued = maxQueued;
        this.policy = policy;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return number of requests of all ranks
     */
    public int size() {
        return size;
    }

    /**
     * Tells whether a request of the same or a higher tier is queued, apart from resumed streams.
     *
     * @param tierRank rank
     * @return true if such a request must be served first
     */
    public boolean hasQueuedAhead(int tierRank) {
        return requestsByRank.headMap(tierRank, true).values().stream()
                .flatMap(List::stream)
                .anyMatch(request -> !request.resumesStream());
    }

    /**
     * Returns the number of queued requests that are served before a given one, apart from resumed streams, which wait
     * for targets that most others do not need.
     *
     * @param request request, queued or not
     * @param nowMillis monotonic time in milliseconds
     * @return number of requests of higher tiers, and of those of the same tier that precede it and can still be on
     *     time
     */
    public int queuedAhead(QueuedRequest request, long nowMillis) {
        int ahead = 0;
        for (List<QueuedRequest> list :
                requestsByRank.headMap(request.tierRank()).values()) {
            for (QueuedRequest other : list) {
                ahead += other.resumesStream() ? 0 : 1;
            }
        }
        for (QueuedRequest other : requestsByRank.getOrDefault(request.tierRank(), List.of())) {
            boolean precedes =
                    other != request && !other.resumesStream() && other.orderMillis() <= request.orderMillis();
            ahead += precedes && nowMillis <= other.onTimeUntilMillis() ? 1 : 0;
        }
        return ahead;
    }

    /**
     * Returns how long the queue of a rank has not emptied.
     *
     * @param tierRank rank
     * @param nowMillis monotonic time in milliseconds
     * @return age of the backlog in milliseconds; 0 if there is none
     */
    public long backlogAgeMillis(int tierRank, long nowMillis) {
        Backlog backlog = backlogsByRank.get(tierRank);
        return backlog == null ? 0 : backlog.ageMillis(nowMillis);
    }

    /**
     * Returns how long the queue of a rank or of a higher one has not emptied. A request that is rejected on arrival
     * because of higher ranks never enters the queue of its own rank, which may then have no backlog at all.
     *
     * @param tierRank rank
     * @param nowMillis monotonic time in milliseconds
     * @return age of the oldest backlog ahead in milliseconds; 0 if there is none
     */
    public long backlogAgeAheadMillis(int tierRank, long nowMillis) {
        return backlogsByRank.entrySet().stream()
                .filter(backlog -> backlog.getKey() <= tierRank)
                .mapToLong(backlog -> backlog.getValue().ageMillis(nowMillis))
                .max()
                .orElse(0);
    }

    /**
     * Returns how long the queue of any rank has not emptied.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return age of the oldest backlog in milliseconds; 0 if there is none
     */
    public long backlogAgeMillis(long nowMillis) {
        return backlogsByRank.values().stream()
                .mapToLong(backlog -> backlog.ageMillis(nowMillis))
                .max()
                .orElse(0);
    }

    /**
     * Returns the time at which a request is rejected if no target accepts it. A backlog shortens the queue timeout.
     *
     * @param request request
     * @param nowMillis monotonic time in milliseconds
     * @return monotonic time in milliseconds
     */
    public long effectiveTimeoutAtMillis(QueuedRequest request, long nowMillis) {
        return policy.isEnabled(Mechanism.SHORT_STANDING_LINE)
                        && backlogAgeMillis(request.tierRank(), nowMillis) >= BACKLOG_THRESHOLD_MILLIS
                ? Math.min(request.queueTimeoutAtMillis(), request.backlogTimeoutAtMillis())
                : request.queueTimeoutAtMillis();
    }

    /**
     * Adds a request. If the queue is full, rejects the last request of the lowest tier.
     *
     * @param request request
     * @param nowMillis monotonic time in milliseconds
     */
    public void add(QueuedRequest request, long nowMillis) {
        requestsByRank
                .computeIfAbsent(request.tierRank(), rank -> new ArrayList<>())
                .add(request);
        backlogsByRank
                .computeIfAbsent(request.tierRank(), rank -> new Backlog())
                .requestQueued(nowMillis);
        size++;
        if (size > maxQueued) {
            evictLast(nowMillis);
        }
    }

    /**
     * Removes a request whose caller has disconnected, without rejecting it.
     *
     * @param request request
     */
    public void remove(QueuedRequest request) {
        List<QueuedRequest> list = requestsByRank.get(request.tierRank());
        if (list != null && list.remove(request)) {
            size--;
        }
    }

    /**
     * Dispatches the requests that targets accept and rejects those whose timeout has expired.
     *
     * <p>A request that finds no target does not block requests of lower rank that other targets accept. The occupancy
     * limit of the lower rank keeps the last slots free.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void advance(long nowMillis) {
        for (Integer rank : List.copyOf(requestsByRank.keySet())) {
            List<QueuedRequest> current = requestsByRank.put(rank, new ArrayList<>());
            List<QueuedRequest> remaining = new ArrayList<>();
            size -= current.size();
            current.sort(Comparator.comparing((QueuedRequest request) -> !request.resumesStream())
                    .thenComparing(request ->
                            policy.isEnabled(Mechanism.ON_TIME_FIRST) && nowMillis > request.onTimeUntilMillis())
                    .thenComparingLong(QueuedRequest::orderMillis));
            // A request may queue itself again during its dispatch, so the current list was detached above.
            Map<String, Integer> failuresByModel = new HashMap<>();
            for (QueuedRequest request : current) {
                if (nowMillis >= request.queueTimeoutAtMillis()) {
                    request.reject(nowMillis);
                    continue;
                }
                boolean tried = failuresByModel.getOrDefault(request.requiredModel(), 0) < MAX_FAILURES_PER_MODEL;
                DispatchResult result = tried ? request.tryDispatch(nowMillis) : DispatchResult.NO_TARGET;
                if (tried && result == DispatchResult.NO_TARGET) {
                    failuresByModel.merge(request.requiredModel(), 1, Integer::sum);
                }
                if (result == DispatchResult.NO_TARGET && nowMillis >= effectiveTimeoutAtMillis(request, nowMillis)) {
                    request.reject(nowMillis);
                } else if (result.stillQueued()) {
                    remaining.add(request);
                }
            }
            requestsByRank.get(rank).addAll(0, remaining);
            if (requestsByRank.get(rank).isEmpty() && backlogsByRank.containsKey(rank)) {
                backlogsByRank.get(rank).queueEmptied(nowMillis);
            }
            size += remaining.size();
        }
    }

    private void evictLast(long nowMillis) {
        for (List<QueuedRequest> list : requestsByRank.descendingMap().values()) {
            if (!list.isEmpty()) {
                QueuedRequest last = list.remove(list.size() - 1);
                size--;
                last.reject(nowMillis);
                return;
            }
        }
    }
}
