package org.whinwharf.traffic.stream;

/**
 * Since when this process knows of every target that was published, without a gap.
 *
 * <p>What is published now proves nothing of the past: targets of another version may have left before this process
 * started, while it was frozen, or while it was cut off from all sources.
 */
public final class PublicationObservation {
    /** Far enough in the past for any span, without overflow. */
    private static final long BEGINNING_MILLIS = Long.MIN_VALUE / 2;

    private long sinceMillis;
    private boolean dependsOnHistory;

    /**
     * Creates an observation that begins now.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public PublicationObservation(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /** Records that no target served before this process knew of it, as the whole fleet starts for the first time. */
    public void beginWithFleet() {
        sinceMillis = BEGINNING_MILLIS;
        dependsOnHistory = false;
    }

    /**
     * Records that targets may have come and gone unnoticed up to now.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void begin(long nowMillis) {
        sinceMillis = nowMillis;
        dependsOnHistory = false;
    }

    /**
     * Records that the publishing service has told what was published and removed before the observation began.
     *
     * @param fromMillis monotonic time in milliseconds from which its history is complete
     */
    public void extendBack(long fromMillis) {
        if (fromMillis < sinceMillis) {
            sinceMillis = fromMillis;
            dependsOnHistory = true;
        }
    }

    /**
     * Tells whether the observation covers a span up to now.
     *
     * @param spanMillis length of the span in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if every target that was published in the span is known
     */
    public boolean covers(long spanMillis, long nowMillis) {
        return nowMillis - sinceMillis >= spanMillis;
    }

    /**
     * Tells whether the observation began with the history of the publishing service, which does not show under which
     * version a target ran before it was started anew under the same name.
     *
     * @return true if it did
     */
    public boolean dependsOnHistory() {
        return dependsOnHistory;
    }

    /**
     * Returns for how long targets have been observed.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return time in milliseconds, very long if from the beginning
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - sinceMillis;
    }
}
