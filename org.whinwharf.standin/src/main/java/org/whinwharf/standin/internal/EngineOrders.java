package org.whinwharf.standin.internal;

import io.micronaut.http.HttpStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.standin.record.OrderRecord;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.LoadedModel;

/** Models and role of an engine, and the orders that change them. */
final class EngineOrders {
    private static final String DEFAULT_ROLE = "mixed";

    private final boolean ignoresFencing;
    private final Map<String, LoadedModel> initial = new LinkedHashMap<>();
    private final Map<String, LoadedModel> models = new LinkedHashMap<>();
    private final List<OrderRecord> record = new ArrayList<>();
    private String role = DEFAULT_ROLE;
    private long fencingNumber;
    private int loading;

    /**
     * Creates the state of an engine that has just started.
     *
     * @param ignoresFencing whether orders with old fencing numbers are carried out
     * @param initialModels models as {@code name:version}; with none the engine serves every model until the first
     *     order
     */
    EngineOrders(boolean ignoresFencing, Collection<String> initialModels) {
        this.ignoresFencing = ignoresFencing;
        for (String model : initialModels) {
            String[] parts = model.split(":", 2);
            initial.put(
                    parts[0],
                    LoadedModel.newBuilder()
                            .setName(parts[0])
                            .setVersion(parts.length > 1 ? parts[1] : "1")
                            .build());
        }
        models.putAll(initial);
    }

    /** Carries out what takes no time and returns whether a model is to be loaded. */
    synchronized boolean accept(EngineOrder order, long nowMillis) {
        boolean old = order.getFencingNumber() < fencingNumber;
        boolean accepted = ignoresFencing || !old;
        record.add(new OrderRecord(nowMillis, order.getFencingNumber(), fencingNumber, accepted));
        if (!accepted) {
            throw new StandInException(HttpStatus.CONFLICT, "old-fencing-number");
        }
        fencingNumber = Math.max(fencingNumber, order.getFencingNumber());
        if (!order.getRole().isEmpty()) {
            role = order.getRole();
        }
        models.remove(order.getUnloadModel());
        boolean loads = !order.getLoadModel().isEmpty();
        loading += loads ? 1 : 0;
        return loads;
    }

    synchronized void loaded(EngineOrder order) {
        loading--;
        models.put(
                order.getLoadModel(),
                LoadedModel.newBuilder()
                        .setName(order.getLoadModel())
                        .setVersion(order.getVersion())
                        .addAllAdapters(order.getAdaptersList())
                        .build());
    }

    synchronized void loadFailed() {
        loading--;
    }

    synchronized void restart() {
        models.clear();
        models.putAll(initial);
        role = DEFAULT_ROLE;
        fencingNumber = 0;
    }

    synchronized boolean serves(String model) {
        return models.containsKey(model) || (models.isEmpty() && initial.isEmpty() && record.isEmpty());
    }

    synchronized List<String> models() {
        return List.copyOf(models.keySet());
    }

    synchronized String role() {
        return role;
    }

    synchronized EngineState state(long startNumber) {
        return EngineState.newBuilder()
                .setStartNumber(startNumber)
                .addAllModels(models.values())
                .setRole(role)
                .setFencingNumber(fencingNumber)
                .setLoading(loading > 0)
                .build();
    }

    synchronized List<OrderRecord> record(long unixOffsetMillis) {
        return record.stream()
                .map(each -> new OrderRecord(
                        each.atMillis() + unixOffsetMillis,
                        each.fencingNumber(),
                        each.highestBefore(),
                        each.accepted()))
                .toList();
    }
}
