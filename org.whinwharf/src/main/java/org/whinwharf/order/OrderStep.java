package org.whinwharf.order;

import java.util.List;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.Model;

/**
 * One step from the current state of an engine to its desired state.
 *
 * @param kind kind of the order
 * @param name name of the model, or the role
 * @param version version of the model; empty for other kinds than loads
 * @param adapters adapters of the model; empty for other kinds than loads
 */
public record OrderStep(OrderKind kind, String name, String version, List<String> adapters) {
    /**
     * Creates a step. Copies the list of adapters.
     *
     * @param kind kind of the order
     * @param name name of the model, or the role
     * @param version version of the model; empty for other kinds than loads
     * @param adapters adapters of the model; empty for other kinds than loads
     */
    public OrderStep {
        adapters = List.copyOf(adapters);
    }

    /**
     * Creates a step that loads a model.
     *
     * @param model model with version and adapters
     * @return step of kind {@link OrderKind#LOAD}
     */
    public static OrderStep load(Model model) {
        return new OrderStep(OrderKind.LOAD, model.getName(), model.getVersion(), model.getAdaptersList());
    }

    /**
     * Creates a step that unloads a model.
     *
     * @param model name of the model
     * @return step of kind {@link OrderKind#UNLOAD}
     */
    public static OrderStep unload(String model) {
        return new OrderStep(OrderKind.UNLOAD, model, "", List.of());
    }

    /**
     * Creates a step that changes the role.
     *
     * @param role new role
     * @return step of kind {@link OrderKind#ROLE}
     */
    public static OrderStep role(String role) {
        return new OrderStep(OrderKind.ROLE, role, "", List.of());
    }

    /**
     * Converts the step to the order message that is sent to the engine.
     *
     * @param fencingNumber fencing number of the order
     * @param weightStoreUrl URL from which the engine loads weights; only loads carry it
     * @return order message
     */
    public EngineOrder toOrder(long fencingNumber, String weightStoreUrl) {
        EngineOrder.Builder order = EngineOrder.newBuilder().setFencingNumber(fencingNumber);
        return switch (kind) {
            case ROLE -> order.setRole(name).build();
            case UNLOAD -> order.setUnloadModel(name).build();
            case LOAD ->
                order.setLoadModel(name)
                        .setVersion(version)
                        .addAllAdapters(adapters)
                        .setWeightStoreUrl(weightStoreUrl)
                        .build();
        };
    }

    /**
     * Describes the step for logs, traces and the status page.
     *
     * @return text such as {@code load lampa 2 [fr]}
     */
    public String describe() {
        String text = kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
        return kind == OrderKind.LOAD ? text + " " + version + " " + adapters : text;
    }
}
