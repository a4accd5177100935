package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

    private static final String REST = "'cold-left-ms':0,'seq':1}";

    /** A sound entry: the JSON values of its members by their names. */
    private static final Map<String, String> ENTRY = Map.of(
            "service", "\"s\"",
            "address", "\"10.0.0.1:1\"",
            "zone", "\"z\"",
            "version", "\"v\"",
            "slots", "7",
            "state", "\"ready\"",
            "cold-left-ms", "0",
            "seq", "1");

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
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'resting'," + REST,
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':'7','state':'ready'," + REST,
                "{'service':'s','address':'nowhere','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:0','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:65536','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.256:1','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'999.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':5,'address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:1','version':'v','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:1','zone':'z','slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':2,'slots':7,'state':'ready'," + REST,
                "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'','slots':7,'state':'ready'," + REST
            })
    void malformedEntryYieldsNoTarget(String text) {
        assertThat(StoreDecoder.target("i-1", json(text)).isPresent(), is(false));
    }

    /** Guards against an entry that is nested so deeply that reading it exhausts the stack of the front's thread. */
    @Test
    void deeplyNestedEntryYieldsNoTarget() {
        String entry = "{'service':'s','address':'10.0.0.1:1','zone':'z','version':'v','slots':7,'state':'ready','x':";
        assertThat(StoreDecoder.target("i-1", json(entry + "[]," + REST)).isPresent(), is(true));
        String deep = "[".repeat(900) + "]".repeat(900);
        assertThat(StoreDecoder.target("i-1", json(entry + deep + "," + REST)).isPresent(), is(false));
    }

    /** Guards against an entry of another writer that lacks one field and sends requests to a foreign service. */
    @ParameterizedTest
    @ValueSource(strings = {"service", "address", "zone", "version", "slots", "state", "cold-left-ms", "seq"})
    void entryThatLacksAFieldYieldsNoTarget(String name) {
        assertThat(isTarget(Map.of()), is(true));
        Map<String, String> members = new LinkedHashMap<>(ENTRY);
        members.remove(name);
        assertThat(StoreDecoder.target("i-1", entry(members)).isPresent(), is(false));
    }

    /** Guards against an entry of another writer with a field of another type or out of range that counts as sound. */
    @ParameterizedTest
    @CsvSource({
        "service, '\"\"'",
        "address, 7",
        "zone, '\"\"'",
        "version, true",
        "slots, 4.5",
        "slots, -1",
        "slots, 4294967297",
        "state, '[\"ready\"]'",
        "cold-left-ms, '\"0\"'",
        "cold-left-ms, null",
        "cold-left-ms, -1",
        "cold-left-ms, 1e999",
        "cold-left-ms, 9223372036854775807",
        "seq, '\"1\"'",
        "seq, 1.5",
        "seq, -1",
        "seq, {}",
        "born, '\"1\"'",
        "born, 1.5",
        "born, -1",
        "stage, 1",
        "models, {}",
        "models, [7]",
        "models, [{}]"
    })
    void entryWithAnUnsoundFieldYieldsNoTarget(String name, String value) {
        assertThat(isTarget(Map.of(name, value)), is(false));
    }

    /** Guards against bytes that only begin like an entry, or that hold two, and count as one. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "{}", "}"})
    void entryWithOtherBytesBehindItYieldsNoTarget(String bytes) {
        String entry = new String(entry(ENTRY), StandardCharsets.UTF_8);
        assertThat(StoreDecoder.target("i-1", json(entry + bytes)).isPresent(), is(false));
    }

    /** Guards against an entry that names two services, of which the reader picks one. */
    @Test
    void entryWithAMemberThatComesTwiceYieldsNoTarget() {
        assertThat(isTarget(Map.of("slots", "4,\"service\":\"t\"")), is(false));
    }

    /** Guards against workers that are out of use because a later release adds fields to their entries. */
    @ParameterizedTest
    @CsvSource({
        "new-field, '{\"a\":[1]}'",
        "new-field, null",
        "cold-left-ms, 12.5",
        "seq, 0",
        "born, 1780220182119",
        "stage, '\"both\"'",
        "models, []",
        "models, '[{\"name\":\"m\",\"version\":1,\"new-field\":2}]'"
    })
    void entryWithFurtherFieldsYieldsATarget(String name, String value) {
        assertThat(isTarget(Map.of(name, value)), is(true));
    }

    private static boolean isTarget(Map<String, String> changed) {
        Map<String, String> members = new LinkedHashMap<>(ENTRY);
        members.putAll(changed);
        return StoreDecoder.target("i-1", entry(members)).isPresent();
    }

    private static byte[] entry(Map<String, String> members) {
        return members.entrySet().stream()
                .map(member -> "\"" + member.getKey() + "\":" + member.getValue())
                .collect(Collectors.joining(",", "{", "}"))
                .getBytes(StandardCharsets.UTF_8);
    }
}
