package org.whinwharf.traffic.rate;

/** Decides whether a target that states how many requests it takes may get one more now. */
public interface RateAdmission {
    /** Admission where no target states a rate. */
    RateAdmission UNLIMITED = new RateAdmission() {
        @Override
        public boolean limits(String targetId) {
            return false;
        }

        @Override
        public boolean admits(String targetId, long nowMillis) {
            return true;
        }

        @Override
        public boolean overdue(String targetId, long nowMillis) {
            return false;
        }

        @Override
        public void dispatched(String targetId, long nowMillis) {
            // Nothing is counted.
        }
    };

    /**
     * Tells whether a target states a rate.
     *
     * @param targetId id of the target
     * @return true if it does
     */
    boolean limits(String targetId);

    /**
     * Tells whether a target that states a rate may get a request now.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     * @return true if it may
     */
    boolean admits(String targetId, long nowMillis);

    /**
     * Tells whether a target that states a rate got no request for so long that it should be asked whether it still
     * does.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     * @return true if it should get the next request
     */
    boolean overdue(String targetId, long nowMillis);

    /**
     * Counts a request that is dispatched to a target that states a rate.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     */
    void dispatched(String targetId, long nowMillis);
}
