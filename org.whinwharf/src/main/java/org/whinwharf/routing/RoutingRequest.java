package org.whinwharf.routing;

import java.util.List;

/**
 * Properties of a request that determine its routing.
 *
 * @param tierRank rank of the caller's tier
 * @param prefixes digests of the prompt's prefixes, shortest first; empty for plain services
 */
public record RoutingRequest(int tierRank, List<Long> prefixes) {}
