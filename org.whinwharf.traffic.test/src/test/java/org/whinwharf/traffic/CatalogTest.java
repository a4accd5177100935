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

    /** Guards against requests that take longer the more routes there are. */
    @Test
    void lookUpDoesNotTryEveryRoute() {
        AtomicInteger tried = new AtomicInteger();
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            routes.add(countingPrefixReads(Fixtures.route("api.example", "/route-" + i + "/"), tried));
        }
        Catalog large = new Catalog(1, CallerLimits.DEFAULT, routes, List.of(), List.of());
        tried.set(0);
        assertThat(large.route("api.example", "/route-1999/x").isPresent(), is(true));
        assertThat(tried.get(), lessThan(10));
    }

    /** Guards against another route than the one that trying all of them, the longest first, would find. */
    @Test
    void routeIsTheLongestThatBeginsThePath() {
        Random random = new Random(5);
        for (int round = 0; round < 300; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                routes.add(Fixtures.route("api.example", path(random, 3)));
            }
            Catalog some = new Catalog(1, CallerLimits.DEFAULT, routes, List.of(), List.of());
            String path = path(random, 5) + "x";
            Optional<Integer> longest = routes.stream()
                    .map(Route::pathPrefix)
                    .filter(path::startsWith)
                    .map(String::length)
                    .max(Integer::compare);
            Optional<Integer> found = some.route("api.example", path)
                    .map(route -> route.pathPrefix().length());
            assertThat(path, found, is(longest));
        }
    }

    private static String path(Random random, int mostParts) {
        StringBuilder path = new StringBuilder("/");
        int parts = random.nextInt(mostParts + 1);
        for (int i = 0; i < parts; i++) {
            path.append((char) ('a' + random.nextInt(3))).append('/');
        }
        return path.toString();
    }

    /** Returns the same route, whose prefix is counted each time that it is looked at. */
    private static Route countingPrefixReads(Route route, AtomicInteger looks) {
        return (Route) Proxy.newProxyInstance(
                Route.class.getClassLoader(), new Class<?>[] {Route.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("pathPrefix")) {
                        looks.incrementAndGet();
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
     * A route is split between two services. A request that is sent once more must go to the same one, or what runs
     * once at each would have run twice.
     */
    @Test
    void splitRouteSendsEachRequestToOneServiceByWeight() {
        Route split = ImmutableRoute.copyOf(Fixtures.route("api.example", "/a/"))
                .withServices(new ServiceWeight("old", 3), new ServiceWeight("new", 1));
        int fresh = 0;
        for (int i = 0; i < 4_000; i++) {
            String service = split.selectService("attempt-" + i);
            assertThat(split.selectService("attempt-" + i), is(service));
            fresh += service.equals("new") ? 1 : 0;
        }
        assertThat(fresh / 4_000.0, closeTo(0.25, 0.03));
    }

    @Test
    void keyNamesItsOrganisationAndNothingElseDoes() {
        assertThat(catalog.organisationOfKey("secret").isPresent(), is(true));
        assertThat(catalog.organisationOfKey("obec").isPresent(), is(false));
    }
}
