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

/** State that a steward keeps of one engine: its last known state, the reads and orders in flight, and the backoff. */
public final class EngineTracker {
    /** Interval between two reads of an engine that is in its desired state. */
    public static final long IDLE_POLL_INTERVAL_MILLIS = 5_000;

    /** Interval between two reads of any other engine. */
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
     * Creates a tracker for an engine whose state was not read yet.
     *
     * @param target host entry of the engine
     */
    public EngineTracker(Host target) {
        this.target = target;
    }

    /**
     * Updates the engine after a change of the host list or the document.
     *
     * @param newTarget host entry of the engine
     * @param newDesiredState state that the document asks for
     */
    public void update(Host newTarget, DesiredEngineState newDesiredState) {
        target = newTarget;
        desiredState = newDesiredState;
    }

    /**
     * Records the result of a successful read.
     *
     * @param newState state of the engine
     * @param nowMillis current time, on the monotonic clock
     */
    public void stateRead(EngineState newState, long nowMillis) {
        readInFlight = false;
        readError = "";
        if (state != null && state.getStartNumber() != newState.getStartNumber()) {
            // The engine has restarted and lost the effect of earlier orders, so the backoff for them ends.
            repeatCount = 0;
            notBeforeMillis = Long.MIN_VALUE;
        }
        state = newState;
        // The age counts from the request: a process that was paused before it handled the response must not take the
        // state for a recent one.
        stateAtMillis = Math.min(readRequestedAtMillis, nowMillis);
        minFencingNumber = Math.max(minFencingNumber, newState.getFencingNumber());
    }

    /**
     * Records a failed read. The state of the engine becomes unknown.
     *
     * @param reason description of the failure
     */
    public void readFailed(String reason) {
        readInFlight = false;
        state = null;
        readError = reason;
    }

    /**
     * Records the outcome of the order in flight, and makes the engine due for a read.
     *
     * @param outcome outcome of the order
     * @param nowMillis current time, on the monotonic clock
     * @param orderTimeoutMillis longest time that an order takes
     */
    public void orderFinished(OrderOutcome outcome, long nowMillis, long orderTimeoutMillis) {
        PlannedOrder order = orderInFlight;
        orderInFlight = null;
        // The next decision requires a new read, since only the state of the engine shows the effect of the order.
        state = null;
        readRequestedAtMillis = Long.MIN_VALUE;
        if (order == null || outcome == OrderOutcome.WITHHELD) {
            return;
        }
        if (outcome == OrderOutcome.FENCED) {
            minFencingNumber = Math.max(minFencingNumber, order.fencingNumber() + 1);
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            // The order may still reach the engine, so no other order is sent before its timeout has passed.
            notBeforeMillis = Math.max(notBeforeMillis, order.plannedAtMillis() + orderTimeoutMillis);
        }
        applyBackoff(order.step(), nowMillis);
    }

    /**
     * Records that an order is planned and now in flight.
     *
     * @param order planned order
     */
    public void orderPlanned(PlannedOrder order) {
        orderInFlight = order;
    }

    /**
     * Tells whether the engine is due for a read, and if so marks the read as in flight.
     *
     * @param nowMillis current time, on the monotonic clock
     * @return true when the caller must read the engine now
     */
    public boolean startReadIfDue(long nowMillis) {
        long pollIntervalMillis = isConverged() ? IDLE_POLL_INTERVAL_MILLIS : ACTIVE_POLL_INTERVAL_MILLIS;
        boolean requested = readRequestedAtMillis != Long.MIN_VALUE;
        long elapsedMillis = requested ? nowMillis - readRequestedAtMillis : Long.MAX_VALUE;
        boolean awaitsResponse = readInFlight && elapsedMillis < READ_TIMEOUT_MILLIS;
        if (orderInFlight != null || awaitsResponse || elapsedMillis < pollIntervalMillis) {
            return false;
        }
        readInFlight = true;
        readRequestedAtMillis = nowMillis;
        return true;
    }

    /**
     * Returns the next step, provided that an order may be sent to the engine now.
     *
     * @param fencingNumber fencing number that the order would carry
     * @param nowMillis current time, on the monotonic clock
     * @return step; empty when no step is missing, the state is unknown or outdated, the engine is loading or in
     *     backoff, an order is in flight, or the engine knows a higher fencing number
     */
    public Optional<OrderStep> nextStep(long fencingNumber, long nowMillis) {
        boolean stateIsRecent = state != null && !readInFlight && nowMillis - stateAtMillis <= MAX_STATE_AGE_MILLIS;
        if (!stateIsRecent || state.getLoading() || orderInFlight != null) {
            return Optional.empty();
        }
        boolean inBackoff = nowMillis < notBeforeMillis;
        if (inBackoff || fencingNumber < minFencingNumber) {
            return Optional.empty();
        }
        return missingSteps().stream().findFirst();
    }

    /**
     * Returns the steps that are missing to reach the desired state.
     *
     * @return steps; empty when none is missing or the state of the engine is unknown
     */
    public List<OrderStep> missingSteps() {
        return state == null || desiredState == null ? List.of() : desiredState.missingSteps(state);
    }

    /**
     * Returns the priority of the engine's next load.
     *
     * @return priority; the highest when the state of the engine is unknown
     */
    public LoadPriority loadPriority() {
        return state == null ? LoadPriority.SERVES_NOTHING : desiredState.loadPriority(state);
    }

    /**
     * Tells whether the engine is in its desired state.
     *
     * @return true when no step is missing and no load is running; false also when the state of the engine is unknown
     */
    public boolean isConverged() {
        return state != null && !state.getLoading() && missingSteps().isEmpty();
    }

    /**
     * Returns the host entry of the engine.
     *
     * @return entry in the current host list
     */
    public Host target() {
        return target;
    }

    /**
     * Returns the name of the state for the status page and metrics.
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
            // Exponential backoff keeps an engine that accepts an order without executing it from overloading the
            // weight store.
            long backoffMillis = BASE_BACKOFF_MILLIS << Math.min(repeatCount, MAX_BACKOFF_DOUBLINGS);
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + backoffMillis);
        }
    }
}
