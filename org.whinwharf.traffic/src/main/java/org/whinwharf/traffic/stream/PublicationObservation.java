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
    /** Time from which the history of the publishing service is complete, up to the observation. */
    private long historySinceMillis = Long.MAX_VALUE;

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
        historySinceMillis = Long.MAX_VALUE;
    }

    /**
     * Records that targets may have come and gone unnoticed up to now.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void begin(long nowMillis) {
        sinceMillis = nowMillis;
        historySinceMillis = Long.MAX_VALUE;
    }

    /**
     * Records that the publishing service has told what was published and removed before the observation began.
     *
     * @param fromMillis monotonic time in milliseconds from which its history is complete
     */
    public void extendBack(long fromMillis) {
        historySinceMillis = fromMillis;
    }

    /**
     * Tells whether the observation covers a span up to now.
     *
     * @param spanMillis length of the span in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if every target that was published in the span is known
     */
    public boolean covers(long spanMillis, long nowMillis) {
        return ageMillis(nowMillis) >= spanMillis;
    }

    /**
     * Tells whether a span is covered only by the history of the publishing service, which does not always show under
     * which version a target ran before it was started anew under the same name.
     *
     * @param spanMillis length of the span in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if the span is covered, but not by what this process has observed itself
     */
    public boolean dependsOnHistory(long spanMillis, long nowMillis) {
        return nowMillis - sinceMillis < spanMillis && covers(spanMillis, nowMillis);
    }

    /**
     * Returns for how long targets have been observed.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return time in milliseconds, very long if from the beginning
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - Math.min(sinceMillis, historySinceMillis);
    }
}
