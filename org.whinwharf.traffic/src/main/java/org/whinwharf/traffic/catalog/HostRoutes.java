package org.whinwharf.traffic.catalog;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The routes of one host name, by the prefixes of their paths. */
final class HostRoutes {
    private static final char SEPARATOR = '/';

    private final Map<String, Route> byPrefix = new HashMap<>();
    /** Separators of the longest prefix; a path has no matching prefix beyond so many. */
    private int maxSeparators;

    /** Adds a route; of two with one prefix the first takes the requests. */
    void add(Route route) {
        String prefix = route.pathPrefix();
        byPrefix.putIfAbsent(prefix, route);
        int separators =
                (int) prefix.chars().filter(letter -> letter == SEPARATOR).count();
        maxSeparators = Math.max(maxSeparators, separators);
    }

    /** Finds the route with the longest prefix that begins a path. */
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
