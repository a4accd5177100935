package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.target.Target;

class StoreDecoderTest {
    private static final String CONFIG = "{'version':7,'routes':["
            + "{'name':'r','host':'H.example','prefix':'/a/','kind':'streaming','timeout-ms':12000,'slo-ms':800,"
            + "'priority':0,'traffic-split':[{'service':'s','weight':90},{'service':'t','weight':10}],'attempts':2,"
            + "'resumable':true,'gap-target-ms':300},"
            + "{'name':'q','host':'h.example','prefix':'/b/','kind':'unsafe','timeout-ms':800,'slo-ms':100,"
            + "'service':'t','public':true}],"
            + "'services':[{'name':'s','health-path':'/healthz','max-conns':360,'cold-start-s':3.0,'cold-per-s':11.0}],"
            + "'limits':{'max-header-bytes':16384,'max-body-bytes':4194304,'header-timeout-ms':3000,"
            + "'idle-timeout-ms':15000},"
            + "'tenants':[{'name':'o','api-keys':['k'],'priority':1,'plain-tokens':200,'rate-per-s':36000,"
            + "'burst':36000}]}";

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void configurationIsDecodedIntoACatalog() throws IOException {
        Catalog catalog = StoreDecoder.catalog(json(CONFIG));
        Route route = catalog.route("h.example", "/a/x").orElseThrow();
        assertThat(catalog.version(), is(7L));
        assertThat(route.services().size(), is(2));
        assertThat(route.idempotent(), is(true));
        assertThat(catalog.route("h.example", "/b/").orElseThrow().idempotent(), is(false));
        assertThat(catalog.service("s").orElseThrow().coldStartMillis(), is(3_000L));
        assertThat(catalog.limits().idleTimeoutMillis(), is(15_000L));
        Organisation organisation = catalog.organisationOfKey("k").orElseThrow();
        assertThat(organisation.quotaTokensPerSecond(), is(36_000.0));
        assertThat(organisation.tierRank().getAsInt(), is(1));
    }

    @Test
    void unreadableConfigurationIsAnError() {
        assertThrows(IOException.class, () -> StoreDecoder.catalog(json("{'version':")));
        assertThrows(IOException.class, () -> StoreDecoder.catalog(json("{}")));
    }

    @Test
    void entryOfATargetIsDecoded() {
        Target target = StoreDecoder.target(
                        "i-1",
                        json("{'service':'s','address':'10.128.0.9:8080','zone':'borborema','version':'v1','slots':7,"
                                + "'state':'draining','cold-left-ms':1200,'models':[{'name':'m','version':1}],'seq':4,"
                                + "'born':1780220182119}"))
                .orElseThrow();
        assertThat(target.address(), is("10.128.0.9:8080"));
        assertThat(target.draining(), is(true));
        assertThat(target.coldRemainingMillis(), is(1_200L));
        assertThat(target.models().contains("m"), is(true));
        assertThat(target.version(), is("v1"));
    }

    /**
     * Other programs write under the same keys. An entry that lacks a field, or has one of another type, is no target:
     * decoding it as one would send requests to an invalid address, or abort the reading of all entries.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\u0000\u0001",
                "[]",
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'resting'}",
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':'7','state':'ready'}",
                "{'service':'s','address':'nowhere','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:0','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:65536','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.256:1','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'999.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':5,'address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:1','version':'v','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:1','zone':'z','slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':2,'slots':7,'state':'ready'}",
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'','slots':7,'state':'ready'}"
            })
    void malformedEntryYieldsNoTarget(String text) {
        assertThat(StoreDecoder.target("i-1", json(text)).isPresent(), is(false));
    }

    /** Guards against an entry that is nested so deeply that reading it exhausts the stack of the front's thread. */
    @Test
    void deeplyNestedEntryYieldsNoTarget() {
        String entry = "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready','x':";
        assertThat(StoreDecoder.target("i-1", json(entry + "[]}")).isPresent(), is(true));
        String deep = "[".repeat(900) + "]".repeat(900);
        assertThat(StoreDecoder.target("i-1", json(entry + deep + "}")).isPresent(), is(false));
    }
}
