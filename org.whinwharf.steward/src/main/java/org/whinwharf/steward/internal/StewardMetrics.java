package org.whinwharf.steward.internal;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.whinwharf.order.OrderKind;
import org.whinwharf.order.OrderOutcome;
import org.whinwharf.order.WithholdReason;
import org.whinwharf.wire.status.EngineStatus;

/** Metrics of the steward: engines by state, orders sent and orders withheld. */
public final class StewardMetrics {
    private static final List<String> STATES = List.of("in-step", "ordered", "waiting", "unreachable");

    private final MeterRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry registry that the metrics are registered with
     */
    public StewardMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Registers one gauge per engine state with the number of engines in that state.
     *
     * @param engines supplies the current status of this steward's engines
     */
    public void bindEngineStates(Supplier<List<EngineStatus>> engines) {
        for (String state : STATES) {
            Gauge.builder("whinwharf.engines", engines, supplier -> count(supplier.get(), state))
                    .tag("state", state)
                    .description("engines of this steward by state")
                    // No other object references the supplier, so a weak reference would be cleared by the next garbage
                    // collection and the gauge would read NaN.
                    .strongReference(true)
                    .register(registry);
        }
    }

    void countOrder(OrderKind kind, OrderOutcome outcome) {
        registry.counter("whinwharf.orders", "kind", tagValue(kind), "outcome", tagValue(outcome))
                .increment();
    }

    void countWithheld(WithholdReason reason) {
        registry.counter("whinwharf.orders.withheld", "reason", tagValue(reason))
                .increment();
    }

    private static double count(List<EngineStatus> engines, String state) {
        return engines.stream()
                .filter(status -> status.getState().equals(state))
                .count();
    }

    private static String tagValue(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
