package org.whinwharf.traffic.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * One version of the published configuration: routes, services, organisations and limits.
 *
 * <p>A catalog is immutable, so a request in flight keeps the version it started with.
 */
public final class Catalog {
    private final long version;
    private final CallerLimits limits;
    private final List<Route> routes;
    private final Map<String, HostRoutes> routesByHostName = new HashMap<>();
    private final Map<String, TargetService> services = new HashMap<>();
    private final Map<String, Organisation> organisations = new HashMap<>();
    private final Map<String, Organisation> organisationsByKey = new HashMap<>();

    /**
     * Creates a catalog.
     *
     * @param version version number; a higher number is newer
     * @param limits limits on callers' requests
     * @param routes all routes
     * @param services all services
     * @param organisations all organisations; empty when callers need no keys
     */
    public Catalog(
            long version,
            CallerLimits limits,
            Collection<Route> routes,
            Collection<TargetService> services,
            Collection<Organisation> organisations) {
        this.version = version;
        this.limits = limits;
        this.routes = List.copyOf(routes);
        routes.forEach(route -> routesByHostName
                .computeIfAbsent(route.hostName(), name -> new HostRoutes())
                .add(route));
        services.forEach(service -> this.services.put(service.name(), service));
        for (Organisation organisation : organisations) {
            this.organisations.put(organisation.name(), organisation);
            organisation.keys().forEach(key -> organisationsByKey.put(key, organisation));
        }
    }

    /**
     * Returns the version number.
     *
     * @return version number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the route with the longest path prefix that matches a path.
     *
     * @param authority host name as the caller sent it, with or without port
     * @param path path without query
     * @return the route; empty when no route matches
     */
    public Optional<Route> route(String authority, String path) {
        HostRoutes routes = routesByHostName.get(hostName(authority));
        return routes == null ? Optional.empty() : routes.find(path);
    }

    /**
     * Returns a catalog of the same routes, without services and organisations.
     *
     * @return catalog that takes less memory
     */
    public Catalog routesOnly() {
        return new Catalog(version, limits, routes, List.of(), List.of());
    }

    /**
     * Returns the services to which routes lead only since a catalog that was in force before.
     *
     * @param former the other catalog
     * @return names of services that handle all requests of a route, of which the other catalog led some elsewhere
     */
    public Set<String> servicesMovedTo(Catalog former) {
        Set<String> moved = new HashSet<>();
        // The longest prefix of either catalog that matches a path finds the same routes as the path.
        Stream.concat(routes.stream(), former.routes.stream()).forEach(prefix -> {
            Optional<String> service = onlyService(prefix);
            if (former.route(prefix.hostName(), prefix.pathPrefix()).isPresent()
                    && !service.equals(former.onlyService(prefix))) {
                service.ifPresent(moved::add);
            }
        });
        return moved;
    }

    private Optional<String> onlyService(Route prefix) {
        return route(prefix.hostName(), prefix.pathPrefix()).flatMap(Route::onlyService);
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service; empty when the catalog has no such service
     */
    public Optional<TargetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the organisation that owns a key.
     *
     * @param key key that a caller presented
     * @return the organisation; empty when no organisation owns the key
     */
    public Optional<Organisation> organisationOfKey(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Returns all organisations.
     *
     * @return organisations, in no order
     */
    public Collection<Organisation> organisations() {
        return organisations.values();
    }

    /**
     * Returns whether callers must present a key on routes that are not public.
     *
     * @return true when the catalog has organisations
     */
    public boolean requiresKeys() {
        return !organisations.isEmpty();
    }

    private static String hostName(String authority) {
        int colon = authority.lastIndexOf(':');
        String name = colon < 0 ? authority : authority.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
