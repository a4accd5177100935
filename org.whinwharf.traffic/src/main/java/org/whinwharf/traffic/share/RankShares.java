package org.whinwharf.traffic.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Accounts of the organisations of one rank, and the virtual clock that they are compared with. */
final class RankShares {
    /**
     * Virtual time by which an organisation that returns from idle may be behind the clock, in milliseconds of slot
     * time at weight 1: a few requests of usual length.
     */
    static final double CREDIT_MILLIS = 1_000;
    /** Time after which an account without requests is dropped. */
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;
    /** Time without grants after which the clock follows the runs that other processes have started. */
    private static final long STANDBY_AFTER_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int tierRank;
    private final OrganisationWeights weights;
    private final Map<Integer, ShareAccount> accounts = new HashMap<>();
    private final Set<ShareAccount> waiting = new LinkedHashSet<>();
    private Map<Integer, Double> useSlots = Map.of();
    private double totalUseSlots;
    private double totalWeight;
    private double largestUseRatio;
    private double clockVirtualMillis;
    private double reviewedVirtualMillis;
    private double clockRate;
    private double observedRatio = 1;
    private long reviewedAtMillis = NEVER;
    private long lastGrantAtMillis = NEVER;

    RankShares(int tierRank, OrganisationWeights weights) {
        this.tierRank = tierRank;
        this.weights = weights;
    }

    private ShareAccount account(int organisationDigest) {
        return accounts.computeIfAbsent(organisationDigest, digest -> new ShareAccount(digest, weights, observedRatio));
    }

    void requestQueued(SharedRequest request) {
        ShareAccount account = account(request.organisationDigest());
        account.add(request.expectedSlotMillis());
        waiting.add(account);
    }

    void requestLeft(SharedRequest request) {
        ShareAccount account = account(request.organisationDigest());
        account.remove(request.expectedSlotMillis());
        if (account.queued() == 0) {
            waiting.remove(account);
        }
    }

    /** Returns the number of organisations with queued requests. */
    int waitingOrganisations() {
        return waiting.size();
    }

    /** Tells whether an organisation other than the given one has queued requests. */
    boolean othersWait(int organisationDigest) {
        return waiting.size() > 1
                || waiting.size() == 1 && waiting.iterator().next().organisationDigest() != organisationDigest;
    }

    /** Returns the virtual time at which the next request of an organisation starts. */
    double startVirtualMillis(int organisationDigest) {
        ShareAccount account = accounts.get(organisationDigest);
        return account == null ? clockVirtualMillis - CREDIT_MILLIS : startVirtualMillis(account);
    }

    private double startVirtualMillis(ShareAccount account) {
        return Math.max(account.finishVirtualMillis(), clockVirtualMillis - CREDIT_MILLIS);
    }

    /** Returns the virtual time that a millisecond of an organisation's expected slot time takes. */
    double virtualPerSlotMilli(int organisationDigest) {
        ShareAccount account = accounts.get(organisationDigest);
        double ratio = account == null ? observedRatio : account.observedRatio();
        return ratio / weights.weight(organisationDigest);
    }

    /** Tells whether an organisation has used less than its share. */
    boolean withinShare(int organisationDigest) {
        return startVirtualMillis(organisationDigest) < clockVirtualMillis;
    }

    /** Tells whether an organisation within its share has queued requests. */
    boolean anyWithinShareWaits() {
        for (ShareAccount account : waiting) {
            if (startVirtualMillis(account) < clockVirtualMillis) {
                return true;
            }
        }
        return false;
    }

    /** Returns the organisation whose last queued request would be served last. */
    Optional<Integer> furthestBeyondShare() {
        return waiting.stream()
                .max(Comparator.comparingDouble(this::lastVirtualMillis))
                .map(ShareAccount::organisationDigest);
    }

    private double lastVirtualMillis(ShareAccount account) {
        return startVirtualMillis(account) + account.queuedVirtualMillis();
    }

    /** Charges a run that this process has started. */
    ShareCharge charge(SharedRequest request, long nowMillis) {
        if (standby(nowMillis)) {
            catchUp();
        }
        lastGrantAtMillis = nowMillis;
        ShareAccount account = account(request.organisationDigest());
        double startVirtualMillis = startVirtualMillis(account);
        double chargedMillis = request.expectedSlotMillis() * account.observedRatio();
        account.charge(startVirtualMillis, chargedMillis, nowMillis);
        account.runStarted();
        clockVirtualMillis = Math.max(clockVirtualMillis, startVirtualMillis);
        return new ShareCharge(account, request.expectedSlotMillis(), chargedMillis, nowMillis);
    }

    /** Charges slot time of a run that another process has started. */
    void observe(int organisationDigest, double slotMillis, long nowMillis) {
        ShareAccount account = account(organisationDigest);
        account.charge(startVirtualMillis(account), slotMillis, nowMillis);
    }

    private boolean standby(long nowMillis) {
        return nowMillis - lastGrantAtMillis > STANDBY_AFTER_MILLIS;
    }

    /** Sets the clock to the organisation that has used most, as if this process had started all runs itself. */
    private void catchUp() {
        for (ShareAccount account : accounts.values()) {
            clockVirtualMillis = Math.max(clockVirtualMillis, account.finishVirtualMillis());
        }
    }

    /** Returns how long it takes until the share of an organisation has room for another request. */
    long roomInMillis(int organisationDigest) {
        ShareAccount account = accounts.get(organisationDigest);
        double ahead = account == null ? 0 : lastVirtualMillis(account) - clockVirtualMillis;
        return ahead <= 0 || clockRate <= 0 ? 0 : (long) Math.ceil(ahead / clockRate);
    }

    /** Measures the use since the last review and drops idle accounts. */
    void review(long nowMillis) {
        if (standby(nowMillis)) {
            catchUp();
        }
        updateObservedRatio();
        double elapsedMillis = Math.max(1, nowMillis - reviewedAtMillis);
        clockRate = (clockVirtualMillis - reviewedVirtualMillis) / elapsedMillis;
        reviewedVirtualMillis = clockVirtualMillis;
        reviewedAtMillis = nowMillis;
        measureUse(elapsedMillis);
        accounts.values().removeIf(account -> account.idleSince(nowMillis - IDLE_TIMEOUT_MILLIS));
    }

    /** Sets the ratio that new accounts start with to the mean of the present ones. */
    private void updateObservedRatio() {
        observedRatio = accounts.values().stream()
                .mapToDouble(ShareAccount::observedRatio)
                .average()
                .orElse(observedRatio);
    }

    private void measureUse(double elapsedMillis) {
        useSlots = new HashMap<>();
        totalUseSlots = 0;
        totalWeight = 0;
        largestUseRatio = 0;
        for (ShareAccount account : accounts.values()) {
            double slots = account.takeUsedMillis() / elapsedMillis;
            if (slots > 0) {
                useSlots.put(account.organisationDigest(), slots);
                totalUseSlots += slots;
                totalWeight += account.weight();
            }
        }
        if (useSlots.size() > 1) {
            useSlots.forEach(
                    (digest, slots) -> largestUseRatio = Math.max(largestUseRatio, slots / shareSlots(digest)));
        }
    }

    private double shareSlots(int organisationDigest) {
        return totalWeight <= 0 ? 0 : totalUseSlots * weights.weight(organisationDigest) / totalWeight;
    }

    ShareUse use(int organisationDigest) {
        ShareAccount account = account(organisationDigest);
        return new ShareUse(
                tierRank,
                useSlots.getOrDefault(organisationDigest, 0.0),
                shareSlots(organisationDigest),
                lastVirtualMillis(account) - clockVirtualMillis,
                account.queued());
    }

    /** Returns the number of organisations that wait because they have used their share, while others wait too. */
    int limitedOrganisations() {
        int limited = 0;
        for (ShareAccount account : waiting) {
            limited += startVirtualMillis(account) >= clockVirtualMillis ? 1 : 0;
        }
        return useSlots.size() > 1 ? limited : 0;
    }

    /** Returns the largest use of an organisation relative to its share in the last second; 0 with fewer than two. */
    double largestUseRatio() {
        return largestUseRatio;
    }

    boolean isEmpty() {
        return accounts.isEmpty();
    }

    int accountCount() {
        return accounts.size();
    }
}
