package org.whinwharf.traffic.catalog;

/**
 * Share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight relative weight, above 0
 */
public record ServiceWeight(String service, double weight) {}
