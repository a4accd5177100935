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
     * Returns the keys its callers show.
     *
     * @return keys; secrets, never logged
     */
    @Value.Redacted
    Set<String> keys();

    /**
     * Returns its own rank, which goes before the route's.
     *
     * @return rank; empty when the route's rank holds
     */
    OptionalInt tierRank();

    /**
     * Returns the usage it is allowed a second, over all processes.
     *
     * @return tokens a second; 0 for no limit
     */
    double quotaTokensPerSecond();

    /**
     * Returns the usage it may save up.
     *
     * @return tokens; 0 for none
     */
    double quotaBurstTokens();

    /**
     * Returns what a request without a token count uses.
     *
     * @return tokens, 0 or more
     */
    long defaultRequestTokens();
}
