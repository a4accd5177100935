package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.ImmutableRoute;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.ServiceWeight;
import org.whinwharf.traffic.stream.RouteHistory;

/** Tests to which services routes are known to have led for as long as a stream may last. */
class RouteHistoryTest {
    private static final String HOST = "api.example";
    private static final long SPAN_MILLIS = 20_000;
    private static final long LATE_MILLIS = 50_000;

    private final RouteHistory history = new RouteHistory();

    /** Guards against inferring the service of a stream from a route that led to another one when it began. */
    @Test
    void routeThatWasMovedDoesNotTellWhereStreamsBegan() {
        history.inForce(catalog(route("/a/", "t")), 0);
        history.inForce(catalog(route("/a/", "s")), 1_000);
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, SPAN_MILLIS + 1_000), is(true));
        assertThat("moved to t", history.movedTo("t", SPAN_MILLIS, SPAN_MILLIS + 1_000), is(false));
        assertThat("moved to s, later", history.movedTo("s", SPAN_MILLIS, SPAN_MILLIS + 1_001), is(false));
    }

    /** Guards against forgetting a catalog that was in force before the last one. */
    @Test
    void routeThatWasMovedBackDoesNotTellWhereStreamsBegan() {
        history.inForce(catalog(route("/a/", "s")), 0);
        history.inForce(catalog(route("/a/", "t")), LATE_MILLIS);
        history.inForce(catalog(route("/a/", "s")), LATE_MILLIS + 10_000);
        history.inForce(catalog(route("/a/", "s"), route("/b/", "u")), LATE_MILLIS + 20_000);
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, LATE_MILLIS + 30_000), is(true));
        assertThat("moved to s, later", history.movedTo("s", SPAN_MILLIS, LATE_MILLIS + 30_001), is(false));
    }

    /** Guards against memory that grows with the number of changes, and against trusting what was dropped for it. */
    @Test
    void manyChangesLeaveTheServiceUnknown() {
        history.inForce(catalog(route("/a/", "t")), 0);
        for (int i = 1; i <= 20; i++) {
            history.inForce(catalog(route("/a/", "s")), 1_000L * i);
        }
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, 20_000), is(true));
        assertThat("moved to s, later", history.movedTo("s", SPAN_MILLIS, LATE_MILLIS), is(false));
    }

    /** Guards against a route that shared its requests among services until lately. */
    @Test
    void routeThatWasSplitDoesNotTellWhereStreamsBegan() {
        history.inForce(catalog(route("/a/", "s", "t")), 0);
        history.inForce(catalog(route("/a/", "s")), 1_000);
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, 1_000), is(true));
    }

    /** Guards against paths that another route matched before, though no route was changed. */
    @Test
    void routesThatWereAddedOrRemovedMovePathsToOthers() {
        history.inForce(catalog(route("/a/", "s"), route("/a/b/", "t")), 0);
        history.inForce(catalog(route("/a/", "s"), route("/a/c/", "u")), 1_000);
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, 1_000), is(true));
        assertThat("moved to u", history.movedTo("u", SPAN_MILLIS, 1_000), is(true));
    }

    /** Guards against refusing streams after each change, whatever it changed. */
    @Test
    void changesElsewhereDoNotCostStreams() {
        history.inForce(catalog(route("/a/", "s"), route("/b/", "t")), 0);
        history.inForce(catalog(route("/a/", "s"), route("/b/", "u"), route("/c/", "s")), 1_000);
        assertThat("moved to s", history.movedTo("s", SPAN_MILLIS, 1_000), is(false));
        assertThat("moved to u", history.movedTo("u", SPAN_MILLIS, 1_000), is(true));
    }

    /** Compares the comparison of all routes of two catalogs with one of all paths. */
    @Test
    void movedServicesAreThoseToWhichSomePathWasMoved() {
        Random random = new Random(7);
        for (int round = 0; round < 300; round++) {
            Catalog before = randomCatalog(random);
            Catalog after = randomCatalog(random);
            for (String service : List.of("s", "t")) {
                boolean moved = paths().stream()
                        .anyMatch(path -> leadsOnlyTo(after, path, service)
                                && before.route(HOST, path).isPresent()
                                && !leadsOnlyTo(before, path, service));
                assertThat("round " + round, after.servicesMovedTo(before).contains(service), is(moved));
            }
        }
    }

    private static boolean leadsOnlyTo(Catalog catalog, String path, String service) {
        return catalog.route(HOST, path)
                .flatMap(Route::onlyService)
                .filter(service::equals)
                .isPresent();
    }

    /** Returns a path below each prefix of random catalogs. */
    private static List<String> paths() {
        return prefixes().stream().map(prefix -> prefix + "x").toList();
    }

    private static List<String> prefixes() {
        return List.of("/", "/a/", "/a/b/", "/a/c/", "/b/", "/b/a/");
    }

    private static Catalog randomCatalog(Random random) {
        return catalog(prefixes().stream()
                .filter(prefix -> random.nextBoolean())
                .map(prefix -> random.nextInt(4) == 0
                        ? route(prefix, "s", "t")
                        : route(prefix, random.nextBoolean() ? "s" : "t"))
                .toArray(Route[]::new));
    }

    private static Catalog catalog(Route... routes) {
        return new Catalog(1, CallerLimits.DEFAULT, List.of(routes), List.of(), List.of());
    }

    private static Route route(String prefix, String... services) {
        return ImmutableRoute.builder()
                .from(Fixtures.route(HOST, prefix))
                .services(Arrays.stream(services)
                        .map(service -> new ServiceWeight(service, 1))
                        .toList())
                .build();
    }
}
