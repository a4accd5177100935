package org.whinwharf.front;

/**
 * What a request is let in or turned away by.
 *
 * @param catalogVersion version of the catalog in force; 0 when none is known
 * @param itemsAgeMillis how long ago the published items were known to be the newest
 */
record CatalogFreshness(long catalogVersion, long itemsAgeMillis) {}
