package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
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
            String service = split.serviceOf("attempt-" + i);
            assertThat(split.serviceOf("attempt-" + i), is(service));
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
