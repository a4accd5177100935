package org.whinwharf.steward.internal;

import io.opentelemetry.api.trace.Span;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.whinwharf.document.DocumentView;
import org.whinwharf.order.OrderOutcome;
import org.whinwharf.order.PlannedOrder;
import org.whinwharf.order.StewardAction;
import org.whinwharf.order.StewardCore;
import org.whinwharf.order.WithholdReason;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.StewardSettings;
import org.whinwharf.wire.status.EngineStatus;

/**
 * Executes the actions that {@link StewardCore} decides on: reads engines and sends orders.
 *
 * <p>All methods except {@link #status} must be called by one thread.
 */
public final class ActionExecutor {
    private final Node node;
    private final EngineClient engines;
    private final StewardMetrics metrics;
    private final Executor callbackExecutor;
    private final StewardCore core;
    private final String weightStoreUrl;
    private CompletableFuture<Void> drained;
    private int inFlight;
    private volatile List<EngineStatus> status = List.of();

    /**
     * Creates an executor.
     *
     * @param settings settings of the steward
     * @param node source of the host list and the document
     * @param engines client of the engines
     * @param metrics metrics of the steward
     * @param callbackExecutor runs callbacks of the client on the thread that calls this class
     */
    public ActionExecutor(
            StewardSettings settings,
            Node node,
            EngineClient engines,
            StewardMetrics metrics,
            Executor callbackExecutor) {
        this.node = node;
        this.engines = engines;
        this.metrics = metrics;
        this.callbackExecutor = callbackExecutor;
        weightStoreUrl = settings.getWeightStoreUrl();
        core = new StewardCore(
                settings.getNode().getHost(), settings.getOrderMillis(), settings.getWeightLoadsPerSecond());
    }

    /** Updates the host list and the document from the node. */
    public void update() {
        if (node.membership().isPresent() && node.document().isPresent()) {
            core.update(node.membership().get(), node.document().get(), nowMillis());
        }
    }

    /** Executes the actions that are due, unless the steward is leaving or its node is not ready. */
    public void tick() {
        if (drained != null || !node.isReady()) {
            return;
        }
        for (StewardAction action :
                core.tick(nowMillis(), System.currentTimeMillis(), listConfirmedAtMillis(core.revision()))) {
            if (action instanceof StewardAction.ReadState read) {
                readState(read.target());
            } else if (action instanceof StewardAction.SendOrder send) {
                sendOrder(send.order());
            }
        }
        status = core.status();
    }

    /**
     * Stops reading engines and sending orders.
     *
     * @param whenDrained future that is completed when no order is in flight
     */
    public void leave(CompletableFuture<Void> whenDrained) {
        drained = whenDrained;
        completeDrainIfIdle();
    }

    /**
     * Returns the status of this steward's engines as of the last tick. Safe for use by several threads.
     *
     * @return one entry per engine
     */
    public List<EngineStatus> status() {
        return status;
    }

    private void readState(Host target) {
        engines.readState(
                target,
                (state, failure) -> callbackExecutor.execute(() -> {
                    if (state != null) {
                        core.stateRead(target.getName(), state, nowMillis());
                    } else {
                        core.readFailed(target.getName(), failure);
                    }
                }));
    }

    private void sendOrder(PlannedOrder order) {
        String target = order.target().getName();
        // The check comes directly before sending and reads the clock anew, because the process may have been paused
        // since the decision.
        Optional<WithholdReason> withholdReason = core.withholdReason(
                order, nowMillis(), listConfirmedAtMillis(order.fencingNumber()), generationInForce());
        if (withholdReason.isPresent()) {
            withholdOrder(order, withholdReason.get());
            return;
        }
        Span span = node.tracer()
                .spanBuilder("engine-order")
                .setAttribute("target", target)
                .setAttribute("order", order.step().describe())
                .startSpan();
        inFlight++;
        engines.sendOrder(
                order.target(),
                order.step().toOrder(order.fencingNumber(), weightStoreUrl),
                result -> callbackExecutor.execute(() -> orderFinished(order, result, span)));
        EventLog.event(LogEvent.ORDER_SENT)
                .with(EventField.TARGET, target)
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.ORDER, order.step().describe())
                .call();
    }

    private void withholdOrder(PlannedOrder order, WithholdReason reason) {
        core.orderFinished(order.target().getName(), OrderOutcome.WITHHELD, nowMillis());
        metrics.countWithheld(reason);
        EventLog.event(LogEvent.ORDER_WITHHELD)
                .with(EventField.TARGET, order.target().getName())
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.REASON, reason.name().toLowerCase(Locale.ROOT))
                .with(EventField.AGE_MILLIS, nowMillis() - order.plannedAtMillis())
                .call();
    }

    private void orderFinished(PlannedOrder order, OrderResult result, Span span) {
        span.setAttribute("outcome", result.outcome().name());
        span.end();
        inFlight--;
        core.orderFinished(order.target().getName(), result.outcome(), nowMillis());
        metrics.countOrder(order.step().kind(), result.outcome());
        logResult(order, result);
        completeDrainIfIdle();
    }

    private static void logResult(PlannedOrder order, OrderResult result) {
        boolean accepted = result.outcome() == OrderOutcome.ACCEPTED;
        EventLog line = EventLog.event(accepted ? LogEvent.ORDER_DONE : LogEvent.ORDER_FAILED)
                .with(EventField.TARGET, order.target().getName())
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.ORDER, order.step().describe())
                .with(EventField.STATUS, result.status());
        if (!accepted) {
            line.with(EventField.REASON, result.reason());
        }
        line.call();
    }

    private void completeDrainIfIdle() {
        if (drained != null && inFlight == 0) {
            drained.complete(null);
        }
    }

    private OptionalLong listConfirmedAtMillis(long revision) {
        return node.listHeardAtMillis(revision);
    }

    private long generationInForce() {
        return node.document().map(DocumentView::generation).orElse(0L);
    }

    private long nowMillis() {
        return node.ticker().nowMillis();
    }
}
