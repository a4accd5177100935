package org.whinwharf.traffic.share;

import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;

/**
 * Weights by which organisations share the slots of a service: the rate of an organisation's quota relative to the mean
 * rate. An organisation without a quota has the mean weight, 1.
 */
public final class OrganisationWeights {
    private Map<Integer, Double> weightsByDigest = Map.of();

    /**
     * Applies the quotas of a new catalog. They count from the next request on.
     *
     * @param catalog the new catalog
     */
    public void update(Catalog catalog) {
        Collection<Organisation> limited = catalog.organisations().stream()
                .filter(organisation -> organisation.quotaTokensPerSecond() > 0)
                .toList();
        double meanRate = limited.stream()
                .mapToDouble(Organisation::quotaTokensPerSecond)
                .average()
                .orElse(1);
        weightsByDigest = limited.stream()
                .collect(Collectors.toMap(
                        organisation -> organisation.name().hashCode(),
                        organisation -> organisation.quotaTokensPerSecond() / meanRate,
                        Math::max));
    }

    /**
     * Returns the weight of an organisation.
     *
     * @param organisationDigest digest of the organisation's name; 0 if it is unknown
     * @return weight above 0; 1 is the mean
     */
    double weight(int organisationDigest) {
        return weightsByDigest.getOrDefault(organisationDigest, 1.0);
    }
}
