package org.whinwharf.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.document.DocumentView;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.LoadedModel;
import org.whinwharf.wire.schema.Model;

/**
 * State that the operators' document asks for in one engine: the models of all deployments that match the engine, and
 * the role that the most specific of these deployments names.
 *
 * @param models models to load, with version and adapters
 * @param role role to take: {@code mixed}, {@code prefill} or {@code decode}
 */
public record DesiredEngineState(List<Model> models, String role) {
    private static final String DEFAULT_ROLE = "mixed";

    /**
     * Creates a desired state. Copies the list of models.
     *
     * @param models models to load, with version and adapters
     * @param role role to take
     */
    public DesiredEngineState {
        models = List.copyOf(models);
    }

    /**
     * Computes the desired state of an engine from the document.
     *
     * @param document document in force
     * @param target host entry of the engine
     * @return desired state; empty when no deployment matches the engine, which then gets no orders
     */
    public static Optional<DesiredEngineState> of(DocumentView document, Host target) {
        List<Deployment> matching = document.deployments(target.getTarget().getService()).stream()
                .filter(deployment -> matches(deployment, target))
                .toList();
        if (matching.isEmpty()) {
            return Optional.empty();
        }
        Set<String> names = new LinkedHashSet<>();
        matching.forEach(deployment -> names.addAll(deployment.getModelsList()));
        List<Model> models =
                names.stream().flatMap(name -> document.model(name).stream()).toList();
        Deployment mostSpecific = matching.stream()
                .max(Comparator.comparingInt(DesiredEngineState::specificity))
                .orElseThrow();
        return Optional.of(new DesiredEngineState(models, roleOrDefault(mostSpecific.getRole())));
    }

    /**
     * Returns the steps that bring an engine from its current state to this one.
     *
     * @param state current state of the engine
     * @return steps in the order in which they must be taken; empty when the engine is in the desired state
     */
    public List<OrderStep> missingSteps(EngineState state) {
        List<OrderStep> steps = new ArrayList<>();
        if (!roleOrDefault(state.getRole()).equals(role)) {
            steps.add(OrderStep.role(role));
        }
        // Unloads come before loads because the new models need the memory.
        state.getModelsList().stream()
                .map(LoadedModel::getName)
                .filter(name ->
                        models.stream().noneMatch(model -> model.getName().equals(name)))
                .forEach(name -> steps.add(OrderStep.unload(name)));
        models.stream().filter(model -> !isLoaded(model, state)).forEach(model -> steps.add(OrderStep.load(model)));
        return steps;
    }

    /**
     * Returns the priority of the engine's next load.
     *
     * @param state current state of the engine
     * @return priority among the loads of all engines
     */
    public LoadPriority loadPriority(EngineState state) {
        if (state.getModelsCount() == 0) {
            return LoadPriority.SERVES_NOTHING;
        }
        Set<String> loaded = new LinkedHashSet<>();
        state.getModelsList().forEach(model -> loaded.add(model.getName()));
        boolean missing = models.stream().anyMatch(model -> !loaded.contains(model.getName()));
        return missing ? LoadPriority.MODEL_MISSING : LoadPriority.OTHER_VERSION;
    }

    private static boolean matches(Deployment deployment, Host target) {
        boolean dataCentreMatches = deployment.getDataCentre().isEmpty()
                || deployment.getDataCentre().equals(target.getDataCentre());
        boolean hardwareMatches = deployment.getHardware().isEmpty()
                || deployment.getHardware().equals(target.getTarget().getHardware());
        return dataCentreMatches && hardwareMatches;
    }

    private static int specificity(Deployment deployment) {
        int hardware = deployment.getHardware().isEmpty() ? 0 : 2;
        return hardware + (deployment.getDataCentre().isEmpty() ? 0 : 1);
    }

    private static boolean isLoaded(Model model, EngineState state) {
        return state.getModelsList().stream()
                .anyMatch(loaded -> loaded.getName().equals(model.getName())
                        && loaded.getVersion().equals(model.getVersion())
                        && Set.copyOf(loaded.getAdaptersList()).equals(Set.copyOf(model.getAdaptersList())));
    }

    private static String roleOrDefault(String role) {
        return role.isEmpty() ? DEFAULT_ROLE : role;
    }
}
