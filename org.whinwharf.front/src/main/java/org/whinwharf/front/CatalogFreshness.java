package org.whinwharf.front;

/**
 * Version and age of the configuration that decides the admission or rejection of a request.
 *
 * @param catalogVersion version of the catalog in force; 0 when no catalog is loaded
 * @param itemsAgeMillis time in milliseconds since the published items were last confirmed to be current
 */
record CatalogFreshness(long catalogVersion, long itemsAgeMillis) {}
