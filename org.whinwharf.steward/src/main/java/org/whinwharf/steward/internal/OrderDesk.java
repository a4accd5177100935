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
import org.whinwharf.order.Withheld;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.StewardSettings;
import org.whinwharf.wire.status.EngineStatus;

/** Carries out what the steward's decisions say. All methods but {@link #status} are called by one thread. */
public final class OrderDesk {
    private final Node node;
    private final EngineClient engines;
    private final StewardMetrics metrics;
    private final Executor duty;
    private final StewardCore core;
    private final String weightStoreUrl;
    private CompletableFuture<Void> leaving;
    private int inFlight;
    private volatile List<EngineStatus> status = List.of();

    /**
     * Makes a desk.
     *
     * @param settings settings of the steward
     * @param node what the process knows
     * @param engines client of the engines
     * @param metrics counters
     * @param duty runs answers on the thread that calls this desk
     */
    public OrderDesk(StewardSettings settings, Node node, EngineClient engines, StewardMetrics metrics, Executor duty) {
        this.node = node;
        this.engines = engines;
        this.metrics = metrics;
        this.duty = duty;
        weightStoreUrl = settings.getWeightStoreUrl();
        core = new StewardCore(
                settings.getNode().getHost(), settings.getOrderMillis(), settings.getWeightLoadsPerSecond());
    }

    /** Takes another host list or document from the node. */
    public void update() {
        if (node.membership().isPresent() && node.document().isPresent()) {
            core.update(node.membership().get(), node.document().get(), now());
        }
    }

    /** Decides and carries out what is due. */
    public void tick() {
        if (leaving != null || !node.isReady()) {
            return;
        }
        for (StewardAction action : core.tick(now(), System.currentTimeMillis(), confirmedAt(core.revision()))) {
            if (action instanceof StewardAction.ReadState read) {
                read(read.target());
            } else if (action instanceof StewardAction.SendOrder send) {
                send(send.order());
            }
        }
        status = core.status();
    }

    /**
     * Orders nothing more.
     *
     * @param drained is completed when no order is in flight
     */
    public void leave(CompletableFuture<Void> drained) {
        leaving = drained;
        drain();
    }

    /**
     * Describes the engines of this steward.
     *
     * @return one entry for each; safe for use by several threads
     */
    public List<EngineStatus> status() {
        return status;
    }

    private void read(Host target) {
        engines.readState(
                target,
                (state, failure) -> duty.execute(() -> {
                    if (state != null) {
                        core.stateRead(target.getName(), state, now());
                    } else {
                        core.readFailed(target.getName(), failure);
                    }
                }));
    }

    private void send(PlannedOrder order) {
        String target = order.target().getName();
        // Asked with a fresh reading of the clock, as the last thing before the sending.
        Optional<Withheld> withheld =
                core.withheld(order, now(), confirmedAt(order.fencingNumber()), generationInForce());
        if (withheld.isPresent()) {
            withhold(order, withheld.get());
            return;
        }
        Span span = node.tracer()
                .spanBuilder("engine-order")
                .setAttribute("target", target)
                .setAttribute("order", order.step().text())
                .startSpan();
        inFlight++;
        engines.order(
                order.target(),
                order.step().order(order.fencingNumber(), weightStoreUrl),
                answer -> duty.execute(() -> answered(order, answer, span)));
        EventLog.event(LogEvent.ORDER_SENT)
                .with(EventField.TARGET, target)
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.ORDER, order.step().text())
                .call();
    }

    private void withhold(PlannedOrder order, Withheld reason) {
        core.answered(order.target().getName(), OrderOutcome.WITHHELD, now());
        metrics.withheld(reason);
        EventLog.event(LogEvent.ORDER_WITHHELD)
                .with(EventField.TARGET, order.target().getName())
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.REASON, reason.name().toLowerCase(Locale.ROOT))
                .with(EventField.AGE_MILLIS, now() - order.plannedAtMillis())
                .call();
    }

    private void answered(PlannedOrder order, OrderAnswer answer, Span span) {
        span.setAttribute("outcome", answer.outcome().name());
        span.end();
        inFlight--;
        core.answered(order.target().getName(), answer.outcome(), now());
        metrics.answered(order.step().kind(), answer.outcome());
        log(order, answer);
        drain();
    }

    private static void log(PlannedOrder order, OrderAnswer answer) {
        boolean accepted = answer.outcome() == OrderOutcome.ACCEPTED;
        EventLog line = EventLog.event(accepted ? LogEvent.ORDER_DONE : LogEvent.ORDER_FAILED)
                .with(EventField.TARGET, order.target().getName())
                .with(EventField.FENCING_NUMBER, order.fencingNumber())
                .with(EventField.ORDER, order.step().text())
                .with(EventField.STATUS, answer.status());
        if (!accepted) {
            line.with(EventField.REASON, answer.reason());
        }
        line.call();
    }

    private void drain() {
        if (leaving != null && inFlight == 0) {
            leaving.complete(null);
        }
    }

    private OptionalLong confirmedAt(long revision) {
        return node.listHeardAtMillis(revision);
    }

    private long generationInForce() {
        return node.document().map(DocumentView::generation).orElse(0L);
    }

    private long now() {
        return node.ticker().nowMillis();
    }
}
