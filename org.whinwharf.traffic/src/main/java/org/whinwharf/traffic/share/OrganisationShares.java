package org.whinwharf.traffic.share;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Shares of organisations in the slots of one service: start-time fair queueing by slot time, separately for each rank.
 *
 * <p>Each run is charged to its organisation, at its start with the expected slot time and from its end on with the
 * observed one, divided by the organisation's weight. The request of the organisation charged least is served next. The
 * clock of a rank is the virtual time at which the run served last began; an organisation that was idle starts at most
 * a small credit behind it, so that what it has not used goes to the others at once and is not owed to it later.
 */
public final class OrganisationShares {
    /** Interval between reviews of the use. */
    private static final long REVIEW_INTERVAL_MILLIS = 1_000;
    /** Interval between reports of limited organisations. */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final OrganisationWeights weights;
    private final Map<Integer, RankShares> sharesByRank = new TreeMap<>();
    private long reviewedAtMillis = NEVER;
    private long reportedAtMillis = NEVER;

    /**
     * Creates shares without any use.
     *
     * @param weights weights of the organisations
     */
    public OrganisationShares(OrganisationWeights weights) {
        this.weights = weights;
    }

    private RankShares rank(int tierRank) {
        return sharesByRank.computeIfAbsent(tierRank, rank -> new RankShares(rank, weights));
    }

    /**
     * Records that a request was queued.
     *
     * @param tierRank rank in the queue
     * @param request request
     */
    public void requestQueued(int tierRank, SharedRequest request) {
        rank(tierRank).requestQueued(request);
    }

    /**
     * Records that a queued request was dispatched, rejected or removed.
     *
     * @param tierRank rank in the queue
     * @param request request
     */
    public void requestLeft(int tierRank, SharedRequest request) {
        rank(tierRank).requestLeft(request);
    }

    /**
     * Tells whether requests of several organisations are queued, so that shares decide on their order.
     *
     * @param tierRank rank in the queue
     * @return false if all queued requests are of one organisation
     */
    public boolean isContended(int tierRank) {
        return rank(tierRank).waitingOrganisations() > 1;
    }

    /**
     * Tells whether several organisations have used a rank in the last seconds.
     *
     * @param tierRank rank in the queue
     * @return false if one organisation has the rank to itself
     */
    public boolean isShared(int tierRank) {
        return rank(tierRank).accountCount() > 1;
    }

    /**
     * Tells whether another organisation than that of a request has queued requests.
     *
     * @param tierRank rank in the queue
     * @param request request, queued or not
     * @return true if shares decide on the position of the request
     */
    public boolean othersWait(int tierRank, SharedRequest request) {
        return rank(tierRank).othersWait(request.organisationDigest());
    }

    /**
     * Tells whether the organisation of a request has used less than its share.
     *
     * @param tierRank rank in the queue
     * @param request request, queued or not
     * @return true if its next request precedes those of the organisations that have used theirs
     */
    public boolean isWithinShare(int tierRank, SharedRequest request) {
        return rank(tierRank).withinShare(request.organisationDigest());
    }

    /**
     * Tells whether any organisation within its share has queued requests.
     *
     * @param tierRank rank in the queue
     * @return true if there is too little room even without those beyond their share
     */
    public boolean anyWithinShareWaits(int tierRank) {
        return rank(tierRank).anyWithinShareWaits();
    }

    /**
     * Returns the organisation whose last queued request would be served last.
     *
     * @param tierRank rank in the queue
     * @return digest of its name; empty if no request is queued
     */
    public Optional<Integer> furthestBeyondShare(int tierRank) {
        return rank(tierRank).furthestBeyondShare();
    }

    /**
     * Orders queued requests by the shares of their organisations.
     *
     * @param tierRank rank in the queue
     * @param requests requests in the order in which one organisation's are served
     * @param <R> type of the requests
     * @return order, which takes account of charges made while it is iterated
     */
    public <R extends SharedRequest> ShareOrder<R> order(int tierRank, List<R> requests) {
        return new ShareOrder<>(rank(tierRank), requests);
    }

    /**
     * Returns the virtual times at which queued requests start.
     *
     * @param tierRank rank in the queue
     * @return tags without any request
     */
    public ShareTags tags(int tierRank) {
        return new ShareTags(rank(tierRank));
    }

    /**
     * Charges a run to its organisation with the expected slot time.
     *
     * @param tierRank rank in the queue
     * @param request dispatched request
     * @param nowMillis monotonic time in milliseconds
     * @return charge, to be corrected when the run ends
     */
    public ShareCharge charge(int tierRank, SharedRequest request, long nowMillis) {
        return rank(tierRank).charge(request, nowMillis);
    }

    /**
     * Charges slot time of a run that another process has started.
     *
     * @param tierRank rank of the run
     * @param organisationDigest digest of the organisation's name
     * @param slotMillis time in milliseconds for which the run has held a slot since it was last charged
     * @param nowMillis monotonic time in milliseconds
     */
    public void observe(int tierRank, int organisationDigest, double slotMillis, long nowMillis) {
        rank(tierRank).observe(organisationDigest, slotMillis, nowMillis);
    }

    /**
     * Estimates how long it takes until the share of an organisation has room for one more request: the time in which
     * the clock of the rank reaches the end of its queued requests, at the rate of the last second.
     *
     * @param tierRank rank in the queue
     * @param organisationDigest digest of the organisation's name
     * @return time in milliseconds; 0 if there is room now or the rate is not known
     */
    public long roomInMillis(int tierRank, int organisationDigest) {
        return rank(tierRank).roomInMillis(organisationDigest);
    }

    /**
     * Measures the use and drops accounts without requests, once per second.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void advance(long nowMillis) {
        if (nowMillis - reviewedAtMillis >= REVIEW_INTERVAL_MILLIS) {
            reviewedAtMillis = nowMillis;
            sharesByRank.values().forEach(shares -> shares.review(nowMillis));
            sharesByRank.values().removeIf(RankShares::isEmpty);
        }
    }

    /**
     * Returns the use of an organisation whose request was refused, if it is to be reported.
     *
     * @param tierRank rank in the queue
     * @param request refused request
     * @param nowMillis monotonic time in milliseconds
     * @return use; empty if the organisation is within its share, alone, or another was reported just before
     */
    public Optional<ShareUse> refused(int tierRank, SharedRequest request, long nowMillis) {
        RankShares shares = rank(tierRank);
        if (nowMillis - reportedAtMillis < REPORT_INTERVAL_MILLIS
                || shares.accountCount() < 2
                || shares.withinShare(request.organisationDigest())) {
            return Optional.empty();
        }
        reportedAtMillis = nowMillis;
        return Optional.of(shares.use(request.organisationDigest()));
    }

    /**
     * Returns the number of organisations that wait because they have used their share.
     *
     * @return number over all ranks
     */
    public int limitedOrganisations() {
        return sharesByRank.values().stream()
                .mapToInt(RankShares::limitedOrganisations)
                .sum();
    }

    /**
     * Returns the largest use of an organisation in the last second relative to its share.
     *
     * @return ratio, the largest of all ranks; 0 if each rank was used by one organisation at most
     */
    public double largestUseRatio() {
        return sharesByRank.values().stream()
                .mapToDouble(RankShares::largestUseRatio)
                .max()
                .orElse(0);
    }

    /**
     * Returns the number of accounts, for tests of its bound.
     *
     * @return accounts of all ranks
     */
    public int accountCount() {
        return sharesByRank.values().stream().mapToInt(RankShares::accountCount).sum();
    }
}
