package org.whinwharf.bench.internal;

import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.bench.history.HistoryEntry.Outcome;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;

/**
 * Decides what a caller does after an attempt. It retries only within its budget: a share of its fresh requests, so
 * that repeats cannot keep up an overload whose cause is gone.
 */
final class RetryPolicy {
    private static final double FIRST_TOKENS = 10;
    private static final long BROKEN_PAUSE_MILLIS = 200;
    private static final int MAX_ELSEWHERE = 2;

    private final double ratio;
    private double tokens = FIRST_TOKENS;

    RetryPolicy(double ratio) {
        this.ratio = ratio;
    }

    /** What to do next. */
    enum Step {
        /** Nothing more. */
        GIVE_UP,
        /** Ask anew, under a new number: the last attempt did not run, or may run twice. */
        FRESH,
        /** Ask for the same number at another host, where the first attempt may still be running. */
        REPEAT
    }

    /**
     * Next step of a caller.
     *
     * @param step what to do
     * @param delayMillis when
     */
    record Decision(Step step, long delayMillis) {
        static final Decision GIVE_UP = new Decision(Step.GIVE_UP, 0);
    }

    synchronized void fresh() {
        tokens += ratio;
    }

    synchronized Decision decide(HistoryEntry last, long leftMillis) {
        Decision wanted = wanted(last);
        if (sentElsewhere(last) && last.attempt() < MAX_ELSEWHERE) {
            return wanted;
        }
        if (wanted.step() == Step.GIVE_UP || wanted.delayMillis() >= leftMillis || tokens < 1) {
            return Decision.GIVE_UP;
        }
        tokens--;
        return wanted;
    }

    /** Another host has room at once; asking it is part of finding the way and takes nothing from the budget. */
    private static boolean sentElsewhere(HistoryEntry last) {
        return last.error().equals(ErrorKind.HOST_LEAVING.wireName())
                || last.error().equals(ErrorKind.HOST_FULL.wireName());
    }

    private static Decision wanted(HistoryEntry last) {
        if (last.outcome() == Outcome.BROKEN) {
            boolean sent = last.number() >= 0;
            return new Decision(sent ? Step.REPEAT : Step.FRESH, BROKEN_PAUSE_MILLIS);
        }
        if (sentElsewhere(last)) {
            return new Decision(Step.FRESH, 0);
        }
        if (last.outcome() == Outcome.WHOLE || last.comeBackMillis() <= 0) {
            return Decision.GIVE_UP;
        }
        // Without a home that answers, a repeat can only be told again that the outcome is unknown.
        boolean anew = last.ran().equals(Ran.NOT_RUN.wireName()) || last.idempotent();
        return new Decision(anew ? Step.FRESH : Step.REPEAT, last.comeBackMillis());
    }
}
