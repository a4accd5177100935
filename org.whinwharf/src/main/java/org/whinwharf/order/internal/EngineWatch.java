package org.whinwharf.order.internal;

import java.util.List;
import java.util.Optional;
import org.whinwharf.order.EngineGoal;
import org.whinwharf.order.LoadNeed;
import org.whinwharf.order.OrderOutcome;
import org.whinwharf.order.OrderStep;
import org.whinwharf.order.PlannedOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;

/** What a steward knows of one engine, and what it waits for. */
public final class EngineWatch {
    /** Time between two readings of an engine that is as it should be. */
    public static final long REST_POLL_MILLIS = 5_000;

    /** Time between two readings of any other engine. */
    public static final long BUSY_POLL_MILLIS = 1_000;

    private static final long MAX_STATE_AGE_MILLIS = 2 * BUSY_POLL_MILLIS;
    private static final long READ_MILLIS = 10_000;
    private static final long FIRST_PAUSE_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 6;

    private Host target;
    private EngineGoal goal;
    private EngineState state;
    private long stateAtMillis;
    private long readAskedAtMillis = Long.MIN_VALUE;
    private boolean reading;
    private PlannedOrder outstanding;
    private OrderStep lastStep;
    private int repeats;
    private long notBeforeMillis = Long.MIN_VALUE;
    private long overruledAt;
    private String problem = "";

    /**
     * Begins to watch an engine.
     *
     * @param target the engine
     */
    public EngineWatch(Host target) {
        this.target = target;
    }

    /**
     * Takes what the lists now say.
     *
     * @param newTarget the engine as the host list has it
     * @param newGoal what the document wants
     */
    public void update(Host newTarget, EngineGoal newGoal) {
        target = newTarget;
        goal = newGoal;
    }

    /**
     * Takes a reading.
     *
     * @param read state of the engine
     * @param nowMillis monotonic clock
     */
    public void stateRead(EngineState read, long nowMillis) {
        reading = false;
        problem = "";
        if (state != null && state.getStartNumber() != read.getStartNumber()) {
            // A new start of the engine knows nothing of what was ordered before.
            repeats = 0;
            notBeforeMillis = Long.MIN_VALUE;
        }
        state = read;
        // Counted from the question: a process that slept over the answer must not take it for new.
        stateAtMillis = Math.min(readAskedAtMillis, nowMillis);
        overruledAt = Math.max(overruledAt, read.getFencingNumber());
    }

    /**
     * Takes the failure of a reading.
     *
     * @param reason why, in words
     */
    public void readFailed(String reason) {
        reading = false;
        state = null;
        problem = reason;
    }

    /**
     * Takes what became of the order that was sent.
     *
     * @param outcome what became of it
     * @param nowMillis monotonic clock
     * @param orderMillis longest that an order may take
     */
    public void answered(OrderOutcome outcome, long nowMillis, long orderMillis) {
        PlannedOrder order = outstanding;
        outstanding = null;
        // Whatever the answer said, what counts is what the engine now is.
        state = null;
        readAskedAtMillis = Long.MIN_VALUE;
        if (order == null || outcome == OrderOutcome.WITHHELD) {
            return;
        }
        if (outcome == OrderOutcome.FENCED) {
            overruledAt = Math.max(overruledAt, order.fencingNumber() + 1);
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            // The order may still arrive; nothing else is ordered until that is over.
            notBeforeMillis = Math.max(notBeforeMillis, order.plannedAtMillis() + orderMillis);
        }
        pause(order.step(), nowMillis);
    }

    /**
     * Notes that an order goes out.
     *
     * @param order the order
     */
    public void sent(PlannedOrder order) {
        outstanding = order;
    }

    /**
     * Tells whether the engine is due to be read, and notes that it is.
     *
     * @param nowMillis monotonic clock
     * @return true when it is to be read now
     */
    public boolean takeRead(long nowMillis) {
        long pollMillis = isInStep() ? REST_POLL_MILLIS : BUSY_POLL_MILLIS;
        boolean asked = readAskedAtMillis != Long.MIN_VALUE;
        long sinceMillis = asked ? nowMillis - readAskedAtMillis : Long.MAX_VALUE;
        boolean waits = reading && sinceMillis < READ_MILLIS;
        if (outstanding != null || waits || sinceMillis < pollMillis) {
            return false;
        }
        reading = true;
        readAskedAtMillis = nowMillis;
        return true;
    }

    /**
     * Finds the next step, if the engine may be ordered anything now.
     *
     * @param fencingNumber number that the order would carry
     * @param nowMillis monotonic clock
     * @return step; empty when there is none or it must wait
     */
    public Optional<OrderStep> nextStep(long fencingNumber, long nowMillis) {
        boolean known = state != null && !reading && nowMillis - stateAtMillis <= MAX_STATE_AGE_MILLIS;
        if (!known || state.getLoading() || outstanding != null) {
            return Optional.empty();
        }
        boolean early = nowMillis < notBeforeMillis;
        if (early || fencingNumber < overruledAt) {
            return Optional.empty();
        }
        return steps().stream().findFirst();
    }

    /**
     * Returns what the engine still lacks.
     *
     * @return steps; empty when there is none or the engine was not read
     */
    public List<OrderStep> steps() {
        return state == null || goal == null ? List.of() : goal.steps(state);
    }

    /**
     * Returns how much the engine needs a load.
     *
     * @return need
     */
    public LoadNeed need() {
        return state == null ? LoadNeed.SERVES_NOTHING : goal.need(state);
    }

    /**
     * Tells whether the engine is as the document wants it.
     *
     * @return false also when it was not read
     */
    public boolean isInStep() {
        return state != null && !state.getLoading() && steps().isEmpty();
    }

    /**
     * Returns the engine.
     *
     * @return the engine as the host list has it
     */
    public Host target() {
        return target;
    }

    /**
     * Names the state for operators.
     *
     * @return {@code in-step}, {@code ordered}, {@code waiting} or {@code unreachable}
     */
    public String stateName() {
        if (!problem.isEmpty()) {
            return "unreachable";
        }
        if (outstanding != null || (state != null && state.getLoading())) {
            return "ordered";
        }
        return isInStep() ? "in-step" : "waiting";
    }

    private void pause(OrderStep step, long nowMillis) {
        repeats = step.equals(lastStep) ? repeats + 1 : 0;
        lastStep = step;
        if (repeats > 0) {
            // An engine that accepts an order and does not follow it must not wear the weight store out.
            long pauseMillis = FIRST_PAUSE_MILLIS << Math.min(repeats, MAX_DOUBLINGS);
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + pauseMillis);
        }
    }
}
