package org.whinwharf.scheduler.internal;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.whinwharf.owner.SchedulerCounter;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TargetState;
import org.whinwharf.wire.status.TierQueue;

/** Metrics of the scheduler. Confined to the duty that makes decisions; other threads read the registry. */
public final class SchedulerMetrics {
    private static final String PREFIX = "whinwharf.scheduler.";

    private final MeterRegistry registry;
    private final Map<String, Counter> countersByName = new HashMap<>();
    private final MultiGauge waitingGauge;
    private final MultiGauge shareGauge;
    private final MultiGauge limitGauge;
    private final MultiGauge inFlightGauge;

    /**
     * Creates the metrics.
     *
     * @param registry registry of the metrics
     */
    public SchedulerMetrics(MeterRegistry registry) {
        this.registry = registry;
        waitingGauge = gauge("waiting", "Requests that wait, by slice and tier rank");
        shareGauge = gauge("share", "Share of the slice's capacity that this scheduler may use, from 0 to 1");
        limitGauge = gauge("target.limit", "Requests in flight that the target is believed to bear");
        inFlightGauge = gauge("target.in.flight", "Granted requests that have not ended, by target");
    }

    void increment(SchedulerCounter counter, String label) {
        countersByName
                .computeIfAbsent(counter + "/" + label, key -> newCounter(counter, label))
                .increment();
    }

    void update(List<SliceState> states) {
        List<MultiGauge.Row<?>> waitingRows = new ArrayList<>();
        List<MultiGauge.Row<?>> shareRows = new ArrayList<>();
        List<MultiGauge.Row<?>> limitRows = new ArrayList<>();
        List<MultiGauge.Row<?>> inFlightRows = new ArrayList<>();
        for (SliceState state : states) {
            Tags tags = Tags.of(
                    "service",
                    state.getService(),
                    "data_centre",
                    state.getDataCentre(),
                    "index",
                    Integer.toString(state.getIndex()));
            shareRows.add(MultiGauge.Row.of(tags, state.getShare()));
            for (TierQueue queue : state.getQueuesList()) {
                Tags tierTags = tags.and("tier_rank", Integer.toString(queue.getTierRank()));
                waitingRows.add(MultiGauge.Row.of(tierTags, queue.getWaiting()));
            }
            for (TargetState target : state.getTargetsList()) {
                Tags targetTags = Tags.of("target", target.getName());
                limitRows.add(MultiGauge.Row.of(targetTags, target.getLimit()));
                inFlightRows.add(MultiGauge.Row.of(targetTags, target.getInFlight()));
            }
        }
        waitingGauge.register(waitingRows, true);
        shareGauge.register(shareRows, true);
        limitGauge.register(limitRows, true);
        inFlightGauge.register(inFlightRows, true);
    }

    private Counter newCounter(SchedulerCounter counter, String label) {
        String name = counter.name().toLowerCase(Locale.ROOT).replace('_', '.');
        return Counter.builder(PREFIX + name).tag("label", label).register(registry);
    }

    private MultiGauge gauge(String name, String description) {
        return MultiGauge.builder(PREFIX + name).description(description).register(registry);
    }
}
