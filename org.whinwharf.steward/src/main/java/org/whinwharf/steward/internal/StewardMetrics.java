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

/** Counts the steward's orders. */
public final class StewardMetrics {
    private static final List<String> STATES = List.of("in-step", "ordered", "waiting", "unreachable");

    private final MeterRegistry registry;

    /**
     * Makes metrics.
     *
     * @param registry where they go
     */
    public StewardMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Binds how many engines are in each state.
     *
     * @param engines reads the engines of this steward
     */
    public void bindEngineStates(Supplier<List<EngineStatus>> engines) {
        for (String state : STATES) {
            Gauge.builder("whinwharf.engines", engines, each -> count(each.get(), state))
                    .tag("state", state)
                    .description("engines of this steward by state")
                    // Nothing else holds the supplier; a weak reference would read NaN after the next collection.
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
        return engines.stream().filter(each -> each.getState().equals(state)).count();
    }

    private static String tagValue(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
