package org.whinwharf.owner;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

/**
 * What the document in force says that a scheduler needs.
 *
 * @param timings times
 * @param services services by name, absent values filled in
 * @param lowestRank rank of the lowest tier
 */
public record SchedulerConfiguration(Timings timings, Map<String, ServiceSpec> services, int lowestRank) {
    /**
     * Takes the rules from a document.
     *
     * @param document document, absent values filled in
     * @return the rules
     */
    public static SchedulerConfiguration of(Document document) {
        return of(document.getServicesList(), document.getTiersList(), document.getTiming());
    }

    /**
     * Takes the rules from the parts of a document.
     *
     * @param services services, absent values filled in
     * @param tiers tiers
     * @param timing times
     * @return the rules
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
     * Finds a service.
     *
     * @param name name of the service
     * @return the service; an empty one when the document has it not
     */
    public ServiceSpec service(String name) {
        return services.getOrDefault(name, ServiceSpec.getDefaultInstance());
    }
}
