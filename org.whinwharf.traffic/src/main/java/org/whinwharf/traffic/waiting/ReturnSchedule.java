package org.whinwharf.traffic.waiting;

import java.util.ArrayList;
import java.util.List;

/**
 * Schedule of the times at which the rejected callers of one service were told to return, in slots of a tenth of a
 * second.
 *
 * <p>A caller that returns during the same overload is rejected for good, and a late answer is worth the same at any
 * time before its deadline. It is therefore told the latest time that leaves enough for its answer, unless as many
 * others return then as are placed in that time.
 */
public final class ReturnSchedule {
    private static final int SLOT_MILLIS = 100;
    /** Divisor of the remaining time: a caller that waits for more than a third of it has too little for its answer. */
    private static final int REMAINING_DIVISOR = 3;
    /** Promises remembered for each slot; later ones are counted, but their returns are treated as new requests. */
    private static final int MAX_REMEMBERED = 256;
    /** Slots before and after the promised one in which a return is recognised. */
    private static final int SLOT_TOLERANCE = 2;
    /** Length of the ring: the longest delay, and the slots of the last moments in which returns are recognised. */
    private static final int SLOT_COUNT =
            2 * SLOT_TOLERANCE + (int) (QueueTimeouts.MAX_RETRY_AFTER_MILLIS / SLOT_MILLIS);
    /** Difference between the promised and the actual remaining time at which a return is recognised. */
    private static final long REMAINING_TOLERANCE_MILLIS = 100;

    private final Slot[] slots = new Slot[SLOT_COUNT];

    /** Creates an empty schedule. */
    public ReturnSchedule() {
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots[i] = new Slot();
        }
    }

    private record Promise(int rank, long deadlineAtMillis) {}

    /** The promises for one slot; the array is reused as a ring. */
    private static final class Slot {
        private final List<Promise> promises = new ArrayList<>();
        private long number = Long.MIN_VALUE;
        private int count;

        void promise(int rank, long deadlineAtMillis) {
            count++;
            if (promises.size() < MAX_REMEMBERED) {
                promises.add(new Promise(rank, deadlineAtMillis));
            }
        }
    }

    /**
     * Selects the time at which a rejected caller should return, and counts it.
     *
     * @param rank rank of the request's route and organisation
     * @param earliestMillis delay before which no caller should return
     * @param notBeforeMillis delay before which its organisation has no room; 0 if it is not limited
     * @param deadlineAtMillis monotonic time of the deadline of the request in milliseconds
     * @param placedPerSecond number of requests that the service placed in the last second
     * @param nowMillis monotonic time in milliseconds
     * @return delay in milliseconds; the larger of the two bounds if it leaves too little time for the answer
     */
    public long retryAfterMillis(
            int rank,
            long earliestMillis,
            long notBeforeMillis,
            long deadlineAtMillis,
            int placedPerSecond,
            long nowMillis) {
        long latestMillis =
                Math.min(QueueTimeouts.MAX_RETRY_AFTER_MILLIS, (deadlineAtMillis - nowMillis) / REMAINING_DIVISOR);
        long firstMillis = Math.max(notBeforeMillis, Math.min(earliestMillis, latestMillis));
        if (firstMillis > latestMillis) {
            return firstMillis;
        }
        int capacity = Math.max(1, placedPerSecond * SLOT_MILLIS / 1_000);
        long selectedMillis = latestMillis;
        for (long delayMillis = latestMillis; delayMillis >= firstMillis; delayMillis -= SLOT_MILLIS) {
            int promised = slotAt(nowMillis + delayMillis).count;
            if (promised < slotAt(nowMillis + selectedMillis).count) {
                selectedMillis = delayMillis;
            }
            if (promised < capacity) {
                break;
            }
        }
        slotAt(nowMillis + selectedMillis).promise(rank, deadlineAtMillis);
        return selectedMillis;
    }

    /**
     * Tells whether a request is the return of a caller that was told to return at about this time, and removes its
     * promise. A return has the deadline of the rejected request; a new request has a later one.
     *
     * @param rank rank of the request's route and organisation
     * @param deadlineAtMillis monotonic time of the deadline of the request in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if a caller of this rank with this deadline was expected
     */
    public boolean recordArrival(int rank, long deadlineAtMillis, long nowMillis) {
        for (int i = -SLOT_TOLERANCE; i <= SLOT_TOLERANCE; i++) {
            List<Promise> promises = slotAt(nowMillis + (long) i * SLOT_MILLIS).promises;
            for (int j = 0; j < promises.size(); j++) {
                Promise promise = promises.get(j);
                long differenceMillis = Math.abs(promise.deadlineAtMillis() - deadlineAtMillis);
                if (promise.rank() == rank && differenceMillis <= REMAINING_TOLERANCE_MILLIS) {
                    promises.remove(j);
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the number of callers that were told to return in the same tenth of a second.
     *
     * @param atMillis monotonic time in milliseconds, not in the past
     * @return number of callers
     */
    public int promisedAt(long atMillis) {
        return slotAt(atMillis).count;
    }

    private Slot slotAt(long atMillis) {
        long number = Math.floorDiv(atMillis, SLOT_MILLIS);
        Slot slot = slots[(int) Math.floorMod(number, (long) SLOT_COUNT)];
        if (slot.number < number) {
            slot.number = number;
            slot.count = 0;
            slot.promises.clear();
        }
        return slot;
    }
}
