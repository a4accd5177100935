package org.whinwharf.order.internal;

import java.util.List;
import java.util.Optional;
import org.whinwharf.order.DesiredEngineState;
import org.whinwharf.order.LoadPriority;
import org.whinwharf.order.OrderOutcome;
import org.whinwharf.order.OrderStep;
import org.whinwharf.order.PlannedOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;

/** What a steward knows of one engine, and what it waits for. */
public final class EngineTracker {
    /** Time between two readings of an engine that is as it should be. */
    public static final long IDLE_POLL_INTERVAL_MILLIS = 5_000;

    /** Time between two readings of any other engine. */
    public static final long ACTIVE_POLL_INTERVAL_MILLIS = 1_000;

    private static final long MAX_STATE_AGE_MILLIS = 2 * ACTIVE_POLL_INTERVAL_MILLIS;
    private static final long READ_TIMEOUT_MILLIS = 10_000;
    private static final long BASE_BACKOFF_MILLIS = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private Host target;
    private DesiredEngineState desiredState;
    private EngineState state;
    private long stateAtMillis;
    private long readRequestedAtMillis = Long.MIN_VALUE;
    private boolean readInFlight;
    private PlannedOrder orderInFlight;
    private OrderStep lastStep;
    private int repeatCount;
    private long notBeforeMillis = Long.MIN_VALUE;
    private long minFencingNumber;
    private String readError = "";

    /**
     * Begins to watch an engine.
     *
     * @param target the engine
     */
    public EngineTracker(Host target) {
        this.target = target;
    }

    /**
     * Takes what the lists now say.
     *
     * @param newTarget the engine as the host list has it
     * @param newGoal what the document wants
     */
    public void update(Host newTarget, DesiredEngineState newGoal) {
        target = newTarget;
        desiredState = newGoal;
    }

    /**
     * Takes a reading.
     *
     * @param read state of the engine
     * @param nowMillis monotonic clock
     */
    public void stateRead(EngineState read, long nowMillis) {
        readInFlight = false;
        readError = "";
        if (state != null && state.getStartNumber() != read.getStartNumber()) {
            // A new start of the engine knows nothing of what was ordered before.
            repeatCount = 0;
            notBeforeMillis = Long.MIN_VALUE;
        }
        state = read;
        // Counted from the question: a process that slept over the answer must not take it for new.
        stateAtMillis = Math.min(readRequestedAtMillis, nowMillis);
        minFencingNumber = Math.max(minFencingNumber, read.getFencingNumber());
    }

    /**
     * Takes the failure of a reading.
     *
     * @param reason why, in words
     */
    public void readFailed(String reason) {
        readInFlight = false;
        state = null;
        readError = reason;
    }

    /**
     * Takes what became of the order that was sent.
     *
     * @param outcome what became of it
     * @param nowMillis monotonic clock
     * @param orderMillis longest that an order may take
     */
    public void orderFinished(OrderOutcome outcome, long nowMillis, long orderMillis) {
        PlannedOrder order = orderInFlight;
        orderInFlight = null;
        // Whatever the answer said, what counts is what the engine now is.
        state = null;
        readRequestedAtMillis = Long.MIN_VALUE;
        if (order == null || outcome == OrderOutcome.WITHHELD) {
            return;
        }
        if (outcome == OrderOutcome.FENCED) {
            minFencingNumber = Math.max(minFencingNumber, order.fencingNumber() + 1);
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            // The order may still arrive; nothing else is ordered until that is over.
            notBeforeMillis = Math.max(notBeforeMillis, order.plannedAtMillis() + orderMillis);
        }
        applyBackoff(order.step(), nowMillis);
    }

    /**
     * Notes that an order goes out.
     *
     * @param order the order
     */
    public void orderPlanned(PlannedOrder order) {
        orderInFlight = order;
    }

    /**
     * Tells whether the engine is due to be read, and notes that it is.
     *
     * @param nowMillis monotonic clock
     * @return true when it is to be read now
     */
    public boolean startReadIfDue(long nowMillis) {
        long pollMillis = isConverged() ? IDLE_POLL_INTERVAL_MILLIS : ACTIVE_POLL_INTERVAL_MILLIS;
        boolean asked = readRequestedAtMillis != Long.MIN_VALUE;
        long sinceMillis = asked ? nowMillis - readRequestedAtMillis : Long.MAX_VALUE;
        boolean waits = readInFlight && sinceMillis < READ_TIMEOUT_MILLIS;
        if (orderInFlight != null || waits || sinceMillis < pollMillis) {
            return false;
        }
        readInFlight = true;
        readRequestedAtMillis = nowMillis;
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
        boolean known = state != null && !readInFlight && nowMillis - stateAtMillis <= MAX_STATE_AGE_MILLIS;
        if (!known || state.getLoading() || orderInFlight != null) {
            return Optional.empty();
        }
        boolean early = nowMillis < notBeforeMillis;
        if (early || fencingNumber < minFencingNumber) {
            return Optional.empty();
        }
        return missingSteps().stream().findFirst();
    }

    /**
     * Returns what the engine still lacks.
     *
     * @return steps; empty when there is none or the engine was not read
     */
    public List<OrderStep> missingSteps() {
        return state == null || desiredState == null ? List.of() : desiredState.missingSteps(state);
    }

    /**
     * Returns how much the engine needs a load.
     *
     * @return need
     */
    public LoadPriority loadPriority() {
        return state == null ? LoadPriority.SERVES_NOTHING : desiredState.loadPriority(state);
    }

    /**
     * Tells whether the engine is as the document wants it.
     *
     * @return false also when it was not read
     */
    public boolean isConverged() {
        return state != null && !state.getLoading() && missingSteps().isEmpty();
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
        if (!readError.isEmpty()) {
            return "unreachable";
        }
        if (orderInFlight != null || (state != null && state.getLoading())) {
            return "ordered";
        }
        return isConverged() ? "in-step" : "waiting";
    }

    private void applyBackoff(OrderStep step, long nowMillis) {
        repeatCount = step.equals(lastStep) ? repeatCount + 1 : 0;
        lastStep = step;
        if (repeatCount > 0) {
            // An engine that accepts an order and does not follow it must not wear the weight store out.
            long pauseMillis = BASE_BACKOFF_MILLIS << Math.min(repeatCount, MAX_BACKOFF_DOUBLINGS);
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + pauseMillis);
        }
    }
}
