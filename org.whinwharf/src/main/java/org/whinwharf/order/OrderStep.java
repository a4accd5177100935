package org.whinwharf.order;

import java.util.List;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.Model;

/**
 * One step that brings an engine nearer to what the document wants.
 *
 * @param kind what it asks for
 * @param name model, or role
 * @param version version of the model; empty for other kinds than loads
 * @param adapters adapters of the model; empty for other kinds than loads
 */
public record OrderStep(OrderKind kind, String name, String version, List<String> adapters) {
    /**
     * Copies the adapters.
     *
     * @param kind what it asks for
     * @param name model, or role
     * @param version version of the model; empty for other kinds than loads
     * @param adapters adapters of the model; empty for other kinds than loads
     */
    public OrderStep {
        adapters = List.copyOf(adapters);
    }

    /**
     * Makes a step that loads a model.
     *
     * @param model the model
     * @return a step
     */
    public static OrderStep load(Model model) {
        return new OrderStep(OrderKind.LOAD, model.getName(), model.getVersion(), model.getAdaptersList());
    }

    /**
     * Makes a step that drops a model.
     *
     * @param model name of the model
     * @return a step
     */
    public static OrderStep unload(String model) {
        return new OrderStep(OrderKind.UNLOAD, model, "", List.of());
    }

    /**
     * Makes a step that changes the role.
     *
     * @param role the role
     * @return a step
     */
    public static OrderStep role(String role) {
        return new OrderStep(OrderKind.ROLE, role, "", List.of());
    }

    /**
     * Writes the step as an order.
     *
     * @param fencingNumber number that the order carries
     * @param weightStoreUrl where the engine loads from
     * @return the order
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
     * Describes the step to people.
     *
     * @return text such as {@code load lampa 2 [fr]}
     */
    public String describe() {
        String text = kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
        return kind == OrderKind.LOAD ? text + " " + version + " " + adapters : text;
    }
}
