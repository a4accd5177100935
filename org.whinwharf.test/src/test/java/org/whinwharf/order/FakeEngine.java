package org.whinwharf.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.LoadedModel;

/** Engine that executes every order at once and records the orders that it accepted. */
class FakeEngine {
    private final boolean checksFencing;
    private final Map<String, String> versions = new TreeMap<>();
    private final List<EngineOrder> accepted = new ArrayList<>();
    private long fencingNumber;

    FakeEngine(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    OrderOutcome order(EngineOrder order) {
        if (checksFencing && order.getFencingNumber() < fencingNumber) {
            return OrderOutcome.FENCED;
        }
        fencingNumber = Math.max(fencingNumber, order.getFencingNumber());
        accepted.add(order);
        versions.remove(order.getUnloadModel());
        if (!order.getLoadModel().isEmpty()) {
            versions.put(order.getLoadModel(), order.getVersion());
        }
        return OrderOutcome.ACCEPTED;
    }

    EngineState state() {
        EngineState.Builder state = EngineState.newBuilder().setStartNumber(1).setFencingNumber(fencingNumber);
        versions.forEach((name, version) ->
                state.addModels(LoadedModel.newBuilder().setName(name).setVersion(version)));
        return state.build();
    }

    List<EngineOrder> accepted() {
        return accepted;
    }

    String version(String model) {
        return versions.getOrDefault(model, "");
    }
}
