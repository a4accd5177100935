package org.whinwharf.traffic.share;

/** Slot time charged to an organisation for one run, which is corrected when the run ends. */
public final class ShareCharge {
    /** Charge of a run that counts for no organisation. */
    public static final ShareCharge NONE = new ShareCharge(new ShareAccount(0, new OrganisationWeights(), 1), 0, 0, 0);

    private final ShareAccount account;
    private final double expectedMillis;
    private final double chargedMillis;
    private final long startedAtMillis;
    private boolean ended;

    ShareCharge(ShareAccount account, double expectedMillis, double chargedMillis, long startedAtMillis) {
        this.account = account;
        this.expectedMillis = expectedMillis;
        this.chargedMillis = chargedMillis;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Replaces the expected slot time by the observed one. Further calls have no effect.
     *
     * @param nowMillis monotonic time in milliseconds at which the slot was freed
     */
    public void ended(long nowMillis) {
        if (!ended && this != NONE) {
            ended = true;
            account.runEnded(expectedMillis, chargedMillis, Math.max(0, nowMillis - startedAtMillis), nowMillis);
        }
    }
}
