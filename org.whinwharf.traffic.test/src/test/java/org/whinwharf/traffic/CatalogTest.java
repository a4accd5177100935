package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Route;

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

    @Test
    void keyNamesItsOrganisationAndNothingElseDoes() {
        assertThat(catalog.organisationOfKey("secret").isPresent(), is(true));
        assertThat(catalog.organisationOfKey("obec").isPresent(), is(false));
    }
}
