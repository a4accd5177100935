package org.whinwharf.traffic.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.share.OrganisationShares;
import org.whinwharf.traffic.share.OrganisationWeights;
import org.whinwharf.traffic.share.ShareOrder;
import org.whinwharf.traffic.share.ShareTags;

/**
 * Queue of the requests of one service, ordered by rank. Within a rank, requests that need one version precede others,
 * requests that can still meet their objective precede late ones, then the shares of the organisations decide, and
 * among the requests of one organisation the order of arrival, in which short requests have a head start. A burst
 * therefore delays some requests instead of all that follow, and few of them, and those of the organisation that sends
 * it.
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

    /** Precedence of a request that any version suits; a lower number is served first. */
    private static final int ANY_VERSION = 2;
    /** Added to the precedence of a late request. */
    private static final int LATE = 1;

    private final TreeMap<Integer, List<QueuedRequest>> requestsByRank = new TreeMap<>();
    private final Map<Integer, Backlog> backlogsByRank = new HashMap<>();
    private final Map<Integer, Backlog> backlogsWithinShareByRank = new HashMap<>();
    private final int maxQueued;
    private final Policy policy;
    private final OrganisationShares shares;
    private final boolean sharesEnabled;
    private final boolean onTimeFirst;
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
        this(maxQueued, policy, new OrganisationShares(new OrganisationWeights()));
    }

    /**
     * Creates an empty queue whose requests are ordered by the shares of their organisations.
     *
     * @param maxQueued maximum number of requests; beyond it, the last request of the organisation furthest beyond its
     *     share in the lowest tier is rejected
     * @param policy enabled mechanisms
     * @param shares shares of the service, to which the dispatched requests are charged
     */
    public RequestQueue(int maxQueued, Policy policy, OrganisationShares shares) {
        this.maxQueued = maxQueued;
        this.policy = policy;
        onTimeFirst = policy.isEnabled(Mechanism.ON_TIME_FIRST);
        sharesEnabled = policy.isEnabled(Mechanism.ORGANISATION_SHARES);
        this.shares = sharesEnabled ? shares : new OrganisationShares(new OrganisationWeights());
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
     * Tells whether a request of the same or a higher tier is queued, apart from those that need one version.
     *
     * @param tierRank rank
     * @return true if such a request must be served first
     */
    public boolean hasQueuedAhead(int tierRank) {
        return requestsByRank.headMap(tierRank, true).values().stream()
                .flatMap(List::stream)
                .anyMatch(request -> !request.needsOneVersion());
    }

    /**
     * Returns the number of queued requests that are served before a given one, apart from those that need one version,
     * which wait for targets that most others do not need.
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
                ahead += other.needsOneVersion() ? 0 : 1;
            }
        }
        List<QueuedRequest> sameRank = requestsByRank.getOrDefault(request.tierRank(), List.of());
        return shares.othersWait(request.tierRank(), request)
                ? ahead + aheadByShare(request, sameRank, nowMillis)
                : ahead + aheadByArrival(request, sameRank, nowMillis);
    }

    private static int aheadByArrival(QueuedRequest request, List<QueuedRequest> sameRank, long nowMillis) {
        int ahead = 0;
        for (QueuedRequest other : sameRank) {
            ahead += countsAhead(other, request, nowMillis) && other.orderMillis() <= request.orderMillis() ? 1 : 0;
        }
        return ahead;
    }

    private static boolean countsAhead(QueuedRequest other, QueuedRequest request, long nowMillis) {
        return other != request && !other.needsOneVersion() && nowMillis <= other.onTimeUntilMillis();
    }

    /** Counts the requests that start before a given one by the shares of their organisations. */
    private int aheadByShare(QueuedRequest request, List<QueuedRequest> sameRank, long nowMillis) {
        ShareTags tags = shares.tags(request.tierRank());
        int ahead = 0;
        for (QueuedRequest other : sameRank) {
            if (other.organisationDigest() == request.organisationDigest()
                    && other.orderMillis() <= request.orderMillis()
                    && countsAhead(other, request, nowMillis)) {
                tags.assign(other);
                ahead++;
            }
        }
        double startVirtualMillis = tags.assign(request);
        for (QueuedRequest other : sameRank) {
            if (other.organisationDigest() != request.organisationDigest() && countsAhead(other, request, nowMillis)) {
                double otherVirtualMillis = tags.assign(other);
                boolean first = otherVirtualMillis < startVirtualMillis
                        || otherVirtualMillis == startVirtualMillis && other.orderMillis() <= request.orderMillis();
                ahead += first ? 1 : 0;
            }
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

    /** Returns how long requests of a rank have waited although their organisations are within their shares. */
    private long backlogWithinShareAgeMillis(int tierRank, long nowMillis) {
        Backlog backlog = backlogsWithinShareByRank.get(tierRank);
        return backlog == null ? 0 : backlog.ageMillis(nowMillis);
    }

    /**
     * Returns the age of the backlog that a request is part of. The requests of an organisation within its share
     * precede the backlog of those that have used theirs.
     */
    private long ownBacklogAgeMillis(QueuedRequest request, long nowMillis) {
        int tierRank = request.tierRank();
        long ageMillis = backlogAgeMillis(tierRank, nowMillis);
        return ageMillis >= BACKLOG_THRESHOLD_MILLIS
                        && shares.isShared(tierRank)
                        && shares.isWithinShare(tierRank, request)
                ? backlogWithinShareAgeMillis(tierRank, nowMillis)
                : ageMillis;
    }

    /**
     * Returns the time at which a request is rejected if no target accepts it. A backlog shortens the queue timeout,
     * except for an organisation within its share if the backlog is one of others that have used theirs.
     *
     * @param request request
     * @param nowMillis monotonic time in milliseconds
     * @return monotonic time in milliseconds
     */
    public long effectiveTimeoutAtMillis(QueuedRequest request, long nowMillis) {
        return policy.isEnabled(Mechanism.SHORT_STANDING_LINE)
                        && ownBacklogAgeMillis(request, nowMillis) >= BACKLOG_THRESHOLD_MILLIS
                ? Math.min(request.queueTimeoutAtMillis(), request.backlogTimeoutAtMillis())
                : request.queueTimeoutAtMillis();
    }

    /**
     * Adds a request. If the queue is full, rejects the last request of the organisation furthest beyond its share in
     * the lowest tier.
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
        if (sharesEnabled) {
            shares.requestQueued(request.tierRank(), request);
        }
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
            recordLeft(request);
        }
    }

    private void recordLeft(QueuedRequest request) {
        if (sharesEnabled) {
            shares.requestLeft(request.tierRank(), request);
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
            size -= current.size();
            // What a request needs may change at any time, which a sort does not bear.
            Map<QueuedRequest, Integer> precedences = new IdentityHashMap<>();
            current.forEach(request -> precedences.put(request, precedence(request, nowMillis)));
            current.sort(Comparator.<QueuedRequest>comparingInt(precedences::get)
                    .thenComparingLong(QueuedRequest::orderMillis));
            // A request may queue itself again during its dispatch, so the current list was detached above.
            Pass pass = new Pass(current, nowMillis);
            if (shares.isContended(rank)) {
                advanceByShare(rank, current, precedences, pass);
            } else {
                current.forEach(pass::advance);
            }
            List<QueuedRequest> remaining = pass.remaining();
            requestsByRank.get(rank).addAll(0, remaining);
            size += remaining.size();
            updateBacklogs(rank, nowMillis);
        }
    }

    private int precedence(QueuedRequest request, long nowMillis) {
        boolean late = onTimeFirst && nowMillis > request.onTimeUntilMillis();
        return (request.needsOneVersion() ? 0 : ANY_VERSION) + (late ? LATE : 0);
    }

    /** Advances requests that are sorted by precedence, those of equal precedence by the shares of organisations. */
    private void advanceByShare(
            int rank, List<QueuedRequest> sorted, Map<QueuedRequest, Integer> precedences, Pass pass) {
        int begin = 0;
        while (begin < sorted.size()) {
            int precedence = precedences.get(sorted.get(begin));
            int end = begin;
            while (end < sorted.size() && precedences.get(sorted.get(end)) == precedence) {
                end++;
            }
            List<QueuedRequest> equal = sorted.subList(begin, end);
            if (precedence < ANY_VERSION || pass.allModelsFailed()) {
                equal.forEach(pass::advance);
            } else {
                ShareOrder<QueuedRequest> order = shares.order(rank, equal);
                while (order.hasNext()) {
                    pass.advance(order.next());
                    if (pass.allModelsFailed()) {
                        order.ignoreShares();
                    }
                }
            }
            begin = end;
        }
    }

    private void updateBacklogs(int rank, long nowMillis) {
        if (requestsByRank.get(rank).isEmpty() && backlogsByRank.containsKey(rank)) {
            backlogsByRank.get(rank).queueEmptied(nowMillis);
        }
        if (shares.anyWithinShareWaits(rank)) {
            backlogsWithinShareByRank
                    .computeIfAbsent(rank, key -> new Backlog())
                    .requestQueued(nowMillis);
        } else if (backlogsWithinShareByRank.containsKey(rank)) {
            backlogsWithinShareByRank.get(rank).queueEmptied(nowMillis);
        }
    }

    /** One pass over the requests of a rank. */
    private final class Pass {
        private final long nowMillis;
        private final List<QueuedRequest> remaining = new ArrayList<>();
        private final Map<String, Integer> failuresByModel = new HashMap<>();
        private final Set<String> untriedModels = new HashSet<>();

        Pass(List<QueuedRequest> requests, long nowMillis) {
            this.nowMillis = nowMillis;
            String previous = null;
            for (QueuedRequest request : requests) {
                if (!request.requiredModel().equals(previous)) {
                    previous = request.requiredModel();
                    untriedModels.add(previous);
                }
            }
        }

        /** Tells whether no request is tried any more, so that their order does not matter. */
        boolean allModelsFailed() {
            return untriedModels.isEmpty();
        }

        /** Returns the requests that are still queued. */
        List<QueuedRequest> remaining() {
            return remaining;
        }

        void advance(QueuedRequest request) {
            if (nowMillis >= request.queueTimeoutAtMillis()) {
                recordLeft(request);
                request.reject(nowMillis);
                return;
            }
            boolean tried = !untriedModels.isEmpty() && untriedModels.contains(request.requiredModel());
            DispatchResult result = tried ? request.tryDispatch(nowMillis) : DispatchResult.NO_TARGET;
            if (tried
                    && result == DispatchResult.NO_TARGET
                    && failuresByModel.merge(request.requiredModel(), 1, Integer::sum) >= MAX_FAILURES_PER_MODEL) {
                untriedModels.remove(request.requiredModel());
            }
            boolean mayTimeOut = result == DispatchResult.NO_TARGET && nowMillis >= request.backlogTimeoutAtMillis();
            if (mayTimeOut && nowMillis >= effectiveTimeoutAtMillis(request, nowMillis)) {
                recordLeft(request);
                request.reject(nowMillis);
            } else if (result.stillQueued()) {
                remaining.add(request);
            } else {
                recordLeft(request);
            }
        }
    }

    private void evictLast(long nowMillis) {
        for (List<QueuedRequest> list : requestsByRank.descendingMap().values()) {
            if (!list.isEmpty()) {
                QueuedRequest last = list.remove(lastIndex(list));
                size--;
                recordLeft(last);
                last.reject(nowMillis);
                return;
            }
        }
    }

    /** Returns the index of the last request of the organisation furthest beyond its share. */
    private int lastIndex(List<QueuedRequest> list) {
        int tierRank = list.get(0).tierRank();
        int last = list.size() - 1;
        if (shares.isContended(tierRank)) {
            int digest = shares.furthestBeyondShare(tierRank).orElseThrow();
            for (int index = last; index >= 0; index--) {
                if (list.get(index).organisationDigest() == digest) {
                    return index;
                }
            }
        }
        return last;
    }
}
