package org.whinwharf.traffic.share;

/** What one organisation has used of a rank, and what it has queued there. */
final class ShareAccount {
    /** Weight of the newest run in the ratio of observed to expected slot time. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final int organisationDigest;
    private final OrganisationWeights weights;
    private double finishVirtualMillis = Double.NEGATIVE_INFINITY;
    private double queuedMillis;
    private double usedMillis;
    private double observedRatio;
    private int queued;
    private int running;
    private long lastUsedAtMillis;

    ShareAccount(int organisationDigest, OrganisationWeights weights, double observedRatio) {
        this.organisationDigest = organisationDigest;
        this.weights = weights;
        this.observedRatio = observedRatio;
    }

    int organisationDigest() {
        return organisationDigest;
    }

    double weight() {
        return weights.weight(organisationDigest);
    }

    /** Returns the virtual time at which the slot time charged so far ends. */
    double finishVirtualMillis() {
        return finishVirtualMillis;
    }

    void add(double slotMillis) {
        queued++;
        queuedMillis += slotMillis;
    }

    void remove(double slotMillis) {
        queued--;
        queuedMillis = queued == 0 ? 0 : queuedMillis - slotMillis;
    }

    int queued() {
        return queued;
    }

    /** Returns the virtual time that the queued requests will take. */
    double queuedVirtualMillis() {
        return queuedMillis * observedRatio / weight();
    }

    /** Returns the ratio of the observed slot time of the last runs to the expected one. */
    double observedRatio() {
        return observedRatio;
    }

    /** Charges slot time from a virtual time on. */
    void charge(double startVirtualMillis, double slotMillis, long nowMillis) {
        finishVirtualMillis = startVirtualMillis + slotMillis / weight();
        usedMillis += slotMillis;
        lastUsedAtMillis = nowMillis;
    }

    void runStarted() {
        running++;
    }

    /**
     * Ends a run.
     *
     * @param expectedMillis slot time expected from the request alone
     * @param chargedMillis slot time charged at its start
     */
    void runEnded(double expectedMillis, double chargedMillis, double observedMillis, long nowMillis) {
        running--;
        observedRatio += (observedMillis / expectedMillis - observedRatio) * SMOOTHING_FACTOR;
        charge(finishVirtualMillis, observedMillis - chargedMillis, nowMillis);
    }

    /** Returns the slot time charged since the last call. */
    double takeUsedMillis() {
        double millis = Math.max(0, usedMillis);
        usedMillis = 0;
        return millis;
    }

    /** Tells whether the account has nothing queued or running and was not charged since a time. */
    boolean idleSince(long atMillis) {
        return queued == 0 && running == 0 && lastUsedAtMillis < atMillis;
    }
}
