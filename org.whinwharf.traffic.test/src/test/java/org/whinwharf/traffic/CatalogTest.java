package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.ImmutableRoute;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.ServiceWeight;

class CatalogTest {
    private final Catalog catalog = Fixtures.catalog(1, 0, 0);

    @Test
    void longestPrefixTakesThePath() {
        assertThat(catalog.route("api.example:80", "/a/b/c").map(Route::pathPrefix), is(Optional.of("/a/b/")));
        assertThat(catalog.route("API.example", "/a/c").map(Route::pathPrefix), is(Optional.of("/a/")));
    }

    /** Guards against a lookup whose cost grows with the number of routes. */
    @Test
    void lookUpDoesNotTryEveryRoute() {
        AtomicInteger prefixReads = new AtomicInteger();
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            routes.add(countingPrefixReads(Fixtures.route("api.example", "/route-" + i + "/"), prefixReads));
        }
        Catalog large = new Catalog(1, CallerLimits.DEFAULT, routes, List.of(), List.of());
        prefixReads.set(0);
        assertThat(large.route("api.example", "/route-1999/x").isPresent(), is(true));
        assertThat(prefixReads.get(), lessThan(10));
    }

    /** Compares the lookup with a search of all routes for the longest matching prefix. */
    @Test
    void routeIsTheLongestThatBeginsThePath() {
        Random random = new Random(5);
        for (int round = 0; round < 300; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                routes.add(Fixtures.route("api.example", path(random, 3)));
            }
            Catalog searched = new Catalog(1, CallerLimits.DEFAULT, routes, List.of(), List.of());
            String path = path(random, 5) + "x";
            Optional<Integer> longest = routes.stream()
                    .map(Route::pathPrefix)
                    .filter(path::startsWith)
                    .map(String::length)
                    .max(Integer::compare);
            Optional<Integer> found = searched.route("api.example", path)
                    .map(route -> route.pathPrefix().length());
            assertThat(path, found, is(longest));
        }
    }

    private static String path(Random random, int maxParts) {
        StringBuilder path = new StringBuilder("/");
        int parts = random.nextInt(maxParts + 1);
        for (int i = 0; i < parts; i++) {
            path.append((char) ('a' + random.nextInt(3))).append('/');
        }
        return path.toString();
    }

    /** Wraps a route and counts the reads of its path prefix. */
    private static Route countingPrefixReads(Route route, AtomicInteger reads) {
        return (Route) Proxy.newProxyInstance(
                Route.class.getClassLoader(), new Class<?>[] {Route.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("pathPrefix")) {
                        reads.incrementAndGet();
                    }
                    return method.invoke(route, arguments);
                });
    }

    @Test
    void pathOrHostOfNoRouteIsUnknown() {
        assertThat(catalog.route("api.example", "/a"), is(Optional.empty()));
        assertThat(catalog.route("other.example", "/a/b/"), is(Optional.empty()));
    }

    /**
     * A route is split between two services. A retry must go to the same service as the first attempt; otherwise each
     * service would execute the request once, and it would have been executed twice.
     */
    @Test
    void splitRouteSendsEachRequestToOneServiceByWeight() {
        Route split = ImmutableRoute.copyOf(Fixtures.route("api.example", "/a/"))
                .withServices(new ServiceWeight("old", 3), new ServiceWeight("new", 1));
        int selectedNew = 0;
        for (int i = 0; i < 4_000; i++) {
            String service = split.selectService("attempt-" + i);
            assertThat(split.selectService("attempt-" + i), is(service));
            selectedNew += service.equals("new") ? 1 : 0;
        }
        assertThat(selectedNew / 4_000.0, closeTo(0.25, 0.03));
    }

    @Test
    void keyNamesItsOrganisationAndNothingElseDoes() {
        assertThat(catalog.organisationOfKey("secret").isPresent(), is(true));
        assertThat(catalog.organisationOfKey("obec").isPresent(), is(false));
    }
}
