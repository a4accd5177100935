package org.whinwharf.traffic.catalog;

import java.util.OptionalInt;
import java.util.Set;
import org.immutables.value.Value;

/** One organisation that sends requests. */
@Value.Immutable
public interface Organisation {
    /**
     * Returns the organisation's name.
     *
     * @return name, unique in a catalog
     */
    String name();

    /**
     * Returns the keys that its callers present.
     *
     * @return keys; secrets, never logged
     */
    @Value.Redacted
    Set<String> keys();

    /**
     * Returns the organisation's tier rank, which takes precedence over the route's.
     *
     * @return rank; empty when only the route's rank applies
     */
    OptionalInt tierRank();

    /**
     * Returns the refill rate of its quota, summed over all processes.
     *
     * @return tokens per second; 0 for no limit
     */
    double quotaTokensPerSecond();

    /**
     * Returns the burst capacity of its quota: the most unused tokens that accumulate.
     *
     * @return tokens; 0 for none
     */
    double quotaBurstTokens();

    /**
     * Returns the quota tokens charged for a request that states no token count.
     *
     * @return tokens, 0 or more
     */
    long defaultRequestTokens();
}
