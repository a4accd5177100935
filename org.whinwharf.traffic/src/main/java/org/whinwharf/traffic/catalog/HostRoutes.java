package org.whinwharf.traffic.catalog;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The routes of one host name, indexed by path prefix. */
final class HostRoutes {
    private static final char SEPARATOR = '/';

    private final Map<String, Route> byPrefix = new HashMap<>();
    /** Largest number of separators in any prefix; limits how many prefixes of a path are looked up. */
    private int maxSeparators;

    /** Adds a route. If two routes have the same prefix, the first one added is used. */
    void add(Route route) {
        String prefix = route.pathPrefix();
        byPrefix.putIfAbsent(prefix, route);
        int separators =
                (int) prefix.chars().filter(character -> character == SEPARATOR).count();
        maxSeparators = Math.max(maxSeparators, separators);
    }

    /** Finds the route with the longest path prefix that matches a path. */
    Optional<Route> find(String path) {
        Route longest = null;
        int end = path.indexOf(SEPARATOR);
        for (int separators = 1; end >= 0 && separators <= maxSeparators; separators++) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                longest = route;
            }
            end = path.indexOf(SEPARATOR, end + 1);
        }
        return Optional.ofNullable(longest);
    }
}
