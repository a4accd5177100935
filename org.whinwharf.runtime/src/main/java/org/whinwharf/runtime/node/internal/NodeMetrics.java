package org.whinwharf.runtime.node.internal;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.whinwharf.runtime.platform.Watch;
import org.whinwharf.wire.peer.PeerEvent;
import org.whinwharf.wire.peer.PeerNetwork;

/** Binds the metrics that all daemons share. */
public final class NodeMetrics {
    private final MeterRegistry registry;

    /**
     * Makes a binder.
     *
     * @param registry where the metrics go
     */
    public NodeMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Binds processor time, memory and threads of this process. */
    public void bindProcess() {
        new JvmMemoryMetrics().bindTo(registry);
        new JvmThreadMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        bindGc();
        Gauge.builder("whinwharf.heap.live", NodeMetrics::liveHeapBytes)
                .baseUnit("bytes")
                .description("heap in use after the last collection")
                .register(registry);
    }

    /**
     * Binds the counters of a peer network.
     *
     * @param network the network
     */
    public void bindNetwork(PeerNetwork network) {
        for (PeerEvent event : PeerEvent.values()) {
            FunctionCounter.builder(
                            "whinwharf.peer.events",
                            network,
                            each -> each.counters().count(event))
                    .tag("event", event.metricName())
                    .description("what happened on links between processes")
                    .register(registry);
        }
        Gauge.builder("whinwharf.peer.connections", network, PeerNetwork::connections)
                .description("open connections with other processes")
                .register(registry);
    }

    /**
     * Binds the count of reads of a watch.
     *
     * @param source what is read, such as {@code document}
     * @param watch the watch
     */
    public void bindWatch(String source, Watch<?> watch) {
        FunctionCounter.builder("whinwharf.platform.reads", watch, Watch::readCount)
                .tag("source", source)
                .description("reads of the platform; a waiting watch counts as one")
                .register(registry);
    }

    /**
     * Binds what a node knows.
     *
     * @param snapshots reads it
     * @param nowMillis reads the monotonic clock
     */
    public void bindKnowledge(Supplier<Snapshot> snapshots, Supplier<Long> nowMillis) {
        gauge(
                "whinwharf.document.generation",
                "document generation in force",
                snapshots,
                snapshot -> snapshot.document()
                        .map(view -> (double) view.generation())
                        .orElse(0.0));
        gauge("whinwharf.list.revision", "revision of the host list", snapshots, Snapshot::revision);
        gauge(
                "whinwharf.ready",
                "1 when the process may serve",
                snapshots,
                snapshot -> snapshot.reasons().isEmpty() ? 1 : 0);
        gauge(
                "whinwharf.document.faults",
                "faults of a document that was refused",
                snapshots,
                snapshot -> snapshot.faults().size());
        gauge(
                "whinwharf.document.age.millis",
                "time since the configuration service answered",
                snapshots,
                snapshot -> age(snapshot.platformHeardAtMillis().orElse(-1), nowMillis.get()));
        gauge(
                "whinwharf.list.age.millis",
                "time since the host list answered",
                snapshots,
                snapshot -> age(snapshot.listHeardAtMillis().orElse(-1), nowMillis.get()));
    }

    private void gauge(
            String name, String description, Supplier<Snapshot> snapshots, ToDoubleFunction<Snapshot> reading) {
        Gauge.builder(name, snapshots, each -> reading.applyAsDouble(each.get()))
                .description(description)
                // Nothing else holds the supplier; a weak reference would read NaN after the next collection.
                .strongReference(true)
                .register(registry);
    }

    private static double age(long heardAtMillis, long nowMillis) {
        return heardAtMillis == -1 ? Double.NaN : nowMillis - heardAtMillis;
    }

    private void bindGc() {
        // Listens until the process ends, as the daemons do, so it is never closed.
        @SuppressWarnings("resource")
        JvmGcMetrics collections = new JvmGcMetrics();
        collections.bindTo(registry);
    }

    private static double liveHeapBytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
                .mapToLong(NodeMetrics::usedAfterCollection)
                .sum();
    }

    private static long usedAfterCollection(MemoryPoolMXBean pool) {
        return pool.getCollectionUsage().getUsed();
    }
}
