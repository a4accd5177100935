package org.whinwharf.owner;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

/**
 * Values of the current document that a scheduler uses.
 *
 * @param timings timings
 * @param services services by name, with default values filled in
 * @param lowestRank rank of the lowest tier
 */
public record SchedulerConfiguration(Timings timings, Map<String, ServiceSpec> services, int lowestRank) {
    /**
     * Creates the configuration from a document.
     *
     * @param document document, with default values filled in
     * @return the configuration
     */
    public static SchedulerConfiguration of(Document document) {
        return of(document.getServicesList(), document.getTiersList(), document.getTiming());
    }

    /**
     * Creates the configuration from the parts of a document.
     *
     * @param services services, with default values filled in
     * @param tiers tiers
     * @param timing timings
     * @return the configuration
     */
    public static SchedulerConfiguration of(Iterable<ServiceSpec> services, Iterable<Tier> tiers, Timing timing) {
        Map<String, ServiceSpec> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.getName(), service));
        int lowestRank = Integer.MAX_VALUE;
        for (Tier tier : tiers) {
            lowestRank = Math.min(lowestRank, tier.getRank());
        }
        return new SchedulerConfiguration(Timings.of(timing), Map.copyOf(byName), lowestRank);
    }

    /**
     * Returns a service.
     *
     * @param name name of the service
     * @return the service; an empty message when the document does not contain it
     */
    public ServiceSpec service(String name) {
        return services.getOrDefault(name, ServiceSpec.getDefaultInstance());
    }
}
