package org.whinwharf.traffic.stream;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.whinwharf.traffic.catalog.Catalog;

/**
 * The catalogs that this process has replaced lately. A stream began at the service to which its route led then, so the
 * service to which a route leads now proves nothing while the stream may be older than the change.
 */
public final class RouteHistory {
    /**
     * Maximum number of replaced catalogs that are kept; while more were replaced lately, all routes may have moved.
     */
    private static final int MAX_REPLACED = 16;

    /**
     * A catalog that was replaced.
     *
     * @param movedTo services to which routes of the catalog in force lead that led elsewhere in this one
     * @param replacedAtMillis monotonic time in milliseconds
     */
    private record ReplacedCatalog(Catalog catalog, Set<String> movedTo, long replacedAtMillis) {}

    private List<ReplacedCatalog> replaced = List.of();
    private Optional<Catalog> inForce = Optional.empty();
    private long droppedAtMillis = Long.MIN_VALUE;

    /**
     * Records that a catalog is in force from now on.
     *
     * @param catalog catalog
     * @param nowMillis monotonic time in milliseconds
     */
    public void inForce(Catalog catalog, long nowMillis) {
        Stream<ReplacedCatalog> retained = replaced.stream()
                .filter(former -> nowMillis - former.replacedAtMillis() <= StreamOrigins.RETENTION_MILLIS);
        Stream<ReplacedCatalog> added = inForce.stream().map(last -> new ReplacedCatalog(last, Set.of(), nowMillis));
        replaced = Stream.concat(retained, added)
                .map(former -> new ReplacedCatalog(
                        former.catalog(), catalog.servicesMovedTo(former.catalog()), former.replacedAtMillis()))
                .toList();
        inForce = Optional.of(catalog.routesOnly());
        if (replaced.size() > MAX_REPLACED) {
            droppedAtMillis = replaced.get(0).replacedAtMillis();
            replaced = replaced.subList(1, replaced.size());
        }
    }

    /**
     * Tells whether a route that leads to a service only has led elsewhere lately.
     *
     * @param service name of the service
     * @param spanMillis time up to now in milliseconds, at most {@link StreamOrigins#RETENTION_MILLIS}
     * @param nowMillis monotonic time in milliseconds
     * @return true if a catalog that was in force within that time led requests of such a route elsewhere
     */
    public boolean movedTo(String service, long spanMillis, long nowMillis) {
        boolean unknown = droppedAtMillis != Long.MIN_VALUE && nowMillis - droppedAtMillis <= spanMillis;
        return unknown
                || replaced.stream()
                        .anyMatch(former -> nowMillis - former.replacedAtMillis() <= spanMillis
                                && former.movedTo().contains(service));
    }
}
