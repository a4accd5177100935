package org.whinwharf.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.standin.LoopbackNetwork;

/** Two stewards as real processes, and an engine that carries out whatever it is ordered. */
class FrozenStewardTest {
    private static final String STANDIN = "org.whinwharf.standin.Main";
    private static final String STEWARD = "org.whinwharf.steward.Main";
    private static final LoopbackNetwork NETWORK = LoopbackNetwork.next();
    private static final String ADDRESS_A = NETWORK.address(1);
    private static final String ADDRESS_B = NETWORK.address(2);
    private static final String ENGINE_ADDRESS = NETWORK.address(3);
    private static final String PLATFORM_ADDRESS = NETWORK.address(4);
    private static final String WEIGHTS_ADDRESS = NETWORK.address(5);
    private static final String PLATFORM = "http://" + PLATFORM_ADDRESS + ":8500";
    private static final String ENGINE = "http://" + ENGINE_ADDRESS + ":8100";
    private static final String WEIGHTS = "http://" + WEIGHTS_ADDRESS + ":8600";
    private static final int HEAP_MEGABYTES = 64;
    private static final long OLD_REVISION = 10;
    private static final long NEW_REVISION = 11;

    private final List<ManagedProcess> processes = new ArrayList<>();

    @TempDir
    private Path folder;

    @AfterEach
    void stopAll() {
        for (ManagedProcess process : processes) {
            if (process.alive()) {
                process.resume();
                process.kill();
            }
        }
    }

    // The system pauses a steward that has an order to give. Meanwhile the list names another steward and the document
    // another version. The first one wakes and still believes in its list and its document; its order would load a
    // version that nobody wants, and the engine, which ignores fencing numbers, would obey.
    @Test
    void stewardThatWakesLateOrdersNothingUnderItsOldList() throws IOException {
        startSurroundings();
        ManagedProcess first = startSteward("host-a", ADDRESS_A);
        startSteward("host-b", ADDRESS_B);
        Await.until("the first steward sees its engine", () -> status(ADDRESS_A).contains("in-step"), first::logTail);

        publishDocument(2, "v2");
        Await.until(
                "the first steward has an order to give",
                () -> status(ADDRESS_A).contains("\"generation\":\"2\""),
                first::logTail);
        first.freeze();
        int ordersBefore = orders().size();
        publishHosts(NEW_REVISION, "host-b", ADDRESS_B);
        publishDocument(3, "v3");
        Await.until(
                "the second steward loads",
                () -> Http.get(ENGINE + "/v1/state").body().contains("v3"));

        first.resume();
        Await.until(
                "the first steward has caught up",
                () -> status(ADDRESS_A).contains("\"listRevision\":\"" + NEW_REVISION + "\""),
                first::logTail);
        JsonNode orders = orders();
        for (int i = ordersBefore; i < orders.size(); i++) {
            assertThat(orders.get(i).get("fencingNumber").asLong(), is(NEW_REVISION));
        }
        assertThat(Http.get(ENGINE + "/v1/state").body(), containsString("v3"));
    }

    private void startSurroundings() throws IOException {
        Files.createDirectories(folder.resolve("documents"));
        Files.writeString(folder.resolve("documents/trial.json"), document(1, "v1"));
        Files.writeString(folder.resolve("hosts.json"), hosts(OLD_REVISION, "host-a", ADDRESS_A));
        start(
                "platform",
                STANDIN,
                List.of(
                        "platform",
                        "--address",
                        PLATFORM_ADDRESS,
                        "--port",
                        "8500",
                        "--hosts",
                        folder.resolve("hosts.json").toString(),
                        "--documents",
                        folder.resolve("documents").toString()));
        start(
                "engine",
                STANDIN,
                List.of(
                        "engine",
                        "--address",
                        ENGINE_ADDRESS,
                        "--port",
                        "8100",
                        "--count",
                        "1",
                        "--models",
                        "odpad:v1",
                        "--ignores-fencing"));
        start("weights", STANDIN, List.of("weights", "--address", WEIGHTS_ADDRESS, "--port", "8600"));
        Await.until(
                "the platform answers",
                () -> Http.get(PLATFORM + "/v1/hosts?after=0").status() == 200);
        Await.until("the engine answers", () -> Http.get(ENGINE + "/v1/state").status() == 200);
        Await.until(
                "the weight store answers",
                () -> Http.get(WEIGHTS + "/admin/counters").status() == 200);
    }

    private ManagedProcess startSteward(String host, String address) throws IOException {
        Path settings = folder.resolve(host + ".json");
        Files.writeString(settings, """
                {"node": {"host": "%s", "dataCentre": "martin-a", "address": "%s", "environment": "trial",
                  "configurationUrl": "%s", "hostListUrl": "%s", "adminPort": 9003, "peerPort": 7003,
                  "traces": {"exporter": "none"}},
                 "orderMillis": 3000, "weightStoreUrl": "%s"}
                """.formatted(host, address, PLATFORM, PLATFORM, WEIGHTS));
        return start(host, STEWARD, List.of("--settings", settings.toString()));
    }

    private ManagedProcess start(String name, String main, List<String> arguments) {
        ManagedProcess process = new ManagedProcess(name, main, HEAP_MEGABYTES, folder, arguments);
        processes.add(process);
        process.start();
        return process;
    }

    private static String status(String address) {
        return Http.get("http://" + address + ":9003/v1/status").body();
    }

    private static JsonNode orders() throws JsonProcessingException {
        return new ObjectMapper().readTree(Http.get(ENGINE + "/record").body()).get("orders");
    }

    private static void publishHosts(long revision, String host, String address) {
        assertThat(
                Http.put(PLATFORM + "/admin/hosts", hosts(revision, host, address))
                        .status(),
                is(200));
    }

    private static void publishDocument(int generation, String version) {
        Http.put(PLATFORM + "/admin/documents/trial", document(generation, version));
    }

    private static String hosts(long revision, String host, String address) {
        return """
                {"revision": %d, "hosts": [
                 {"name": "%s", "address": "%s", "dataCentre": "martin-a", "state": "LIVE",
                  "entry": {"stewardPeer": 7003, "stewardAdmin": 9003}},
                 {"name": "lampa-1", "address": "%s", "dataCentre": "martin-a", "state": "LIVE",
                  "target": {"service": "lampa-llm", "port": 8100, "hardware": "h1"}}]}
                """.formatted(revision, host, address, ENGINE_ADDRESS);
    }

    private static String document(int generation, String version) {
        return """
                {"generation": %d, "environment": "trial",
                 "dataCentres": [{"name": "martin-a", "region": "sk-central"}],
                 "tiers": [{"name": "driver", "rank": 2}],
                 "models": [{"name": "odpad", "version": "%s"}],
                 "services": [{"name": "lampa-llm", "kind": "ENGINE", "models": ["odpad"], "checksFencing": false}],
                 "organisations": [
                  {"name": "drivers", "credentials": [{"sha256128": "uIOSy/fOzPx+ZgYWRod0Hg==", "tier": "driver"}]}],
                 "sealingKeys": [{"id": 1, "key": "As7T0G/0DED5kJba/cITS93tOVSZITSJPbW4lz+lxc4="}],
                 "timing": {"listLagMillis": 0},
                 "deployments": [{"name": "all", "service": "lampa-llm", "models": ["odpad"]}]}
                """.formatted(generation, version);
    }
}
