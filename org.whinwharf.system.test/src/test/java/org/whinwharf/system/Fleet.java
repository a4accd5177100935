package org.whinwharf.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.standin.LoopbackNetwork;

/**
 * Small fleet of real processes on loopback addresses: the platform, engines and a plain service in each of two data
 * centres, and four hosts with an entry and a scheduler each.
 */
final class Fleet implements Service {
    static final int HOSTS = 4;
    /** Most requests that a target gets at once by the document. */
    static final int MOST = 8;

    static final int TARGETS_PER_DATA_CENTRE = 2;
    static final String[] DATA_CENTRES = {"martin-a", "martin-b"};
    static final String DRIVER = "quickstart-trial-only-driver";
    static final String INSPECTOR = "quickstart-trial-only-inspector";
    static final String SCHOOL = "quickstart-trial-only-school";

    /** Where logs stay after a run, so that a failure can be explained. */
    private static final Path LOGS = Path.of(System.getProperty("whinwharf.test.output", "target"), "fleets");

    private static final int HEAP_MEGABYTES = 64;
    private static final int STANDIN_HEAP_MEGABYTES = 128;
    private static final int PLATFORM_PORT = 8500;
    private static final int ENGINE_PORT = 8100;
    private static final int PLAIN_PORT = 8200;

    /** Indices of addresses in the network; a host's is its own number. */
    private static final int ENGINE_INDEX = HOSTS + 1;

    private static final int PLAIN_INDEX = ENGINE_INDEX + DATA_CENTRES.length;
    private static final int PLATFORM_INDEX = PLAIN_INDEX + DATA_CENTRES.length;

    private final String name;
    private final LoopbackNetwork network = LoopbackNetwork.next();
    private final Path folder;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private int revision = 1;
    private int generation = 1;

    /**
     * Describes a fleet.
     *
     * @param name folder of its logs after a run
     * @param folder where settings and logs go
     */
    Fleet(String name, Path folder) {
        this.name = name;
        this.folder = folder;
    }

    @Override
    public void start() {
        write("hosts.json", hosts(HOSTS));
        write("documents/trial.json", document(generation, true, true));
        add("platform", "org.whinwharf.standin.Main", STANDIN_HEAP_MEGABYTES, platformArguments());
        add("engines", "org.whinwharf.standin.Main", STANDIN_HEAP_MEGABYTES, engineArguments());
        add("plain", "org.whinwharf.standin.Main", STANDIN_HEAP_MEGABYTES, plainArguments());
        processes.values().forEach(ManagedProcess::start);
        awaitAnswer("the platform", platform() + "/v1/hosts?after=0");
        awaitAnswer("the engines", engine(0, 0) + "/v1/load");
        awaitAnswer("the plain service", plain(0) + "/v1/load");
        for (int host = 1; host <= HOSTS; host++) {
            startHost(host);
        }
        for (int host = 1; host <= HOSTS; host++) {
            awaitReady(host);
        }
    }

    @Override
    public void stop() {
        List<ManagedProcess> all = new ArrayList<>(processes.values());
        for (ManagedProcess process : all) {
            if (process.alive()) {
                process.resume();
                process.kill();
            }
            process.keepLog(LOGS.resolve(name));
        }
        processes.clear();
    }

    void startHost(int host) {
        write("entry-" + host + ".json", settings(host, 9001, 7001, ", \"callerPort\": 8080"));
        write("scheduler-" + host + ".json", settings(host, 9002, 7002, ""));
        start("scheduler-" + host, "org.whinwharf.scheduler.Main");
        start("entry-" + host, "org.whinwharf.entry.Main");
    }

    void awaitReady(int host) {
        for (String role : new String[] {"entry", "scheduler"}) {
            int port = role.equals("entry") ? 9001 : 9002;
            Await.until(
                    role + "-" + host + " is ready",
                    () -> Http.get(admin(host, port) + "/ready").status() == 200,
                    () -> process(role + "-" + host).logTail());
        }
    }

    ManagedProcess process(String name) {
        return processes.get(name);
    }

    String platform() {
        return "http://" + address(PLATFORM_INDEX) + ":" + PLATFORM_PORT;
    }

    String entry(int host) {
        return "http://" + address(host) + ":8080";
    }

    String admin(int host, int port) {
        return "http://" + address(host) + ":" + port;
    }

    String engine(int dataCentre, int index) {
        return "http://" + address(ENGINE_INDEX + dataCentre) + ":" + (ENGINE_PORT + index);
    }

    String plain(int dataCentre) {
        return "http://" + address(PLAIN_INDEX + dataCentre) + ":" + PLAIN_PORT;
    }

    /** Publishes the next document, with each data centre in or out of service; returns its generation. */
    int publish(boolean firstInService, boolean secondInService) {
        generation++;
        Http.put(platform() + "/admin/documents/trial", document(generation, firstInService, secondInService));
        return generation;
    }

    /** Publishes a document of any generation, also one below those that were published before. */
    void publishAgain(int olderGeneration, boolean firstInService, boolean secondInService) {
        String document = document(olderGeneration, firstInService, secondInService);
        Http.put(platform() + "/admin/documents/trial", document);
    }

    /** Returns the generation in force at one process; -1 when it does not answer. */
    long generationAt(int host, int adminPort) {
        Http.Reply reply = Http.get(admin(host, adminPort) + "/v1/status");
        return reply.status() == 200
                ? Caller.json(reply.body()).path("generation").asLong()
                : -1;
    }

    boolean generationEverywhere(long expected) {
        for (int host = 1; host <= HOSTS; host++) {
            if (generationAt(host, 9001) != expected || generationAt(host, 9002) != expected) {
                return false;
            }
        }
        return true;
    }

    void faultPlatform(String faults) {
        Http.post(platform() + "/faults", "", faults);
    }

    void publishHosts(int hosts) {
        revision++;
        Http.put(platform() + "/admin/hosts", hosts(hosts));
    }

    private static void awaitAnswer(String what, String url) {
        Await.until(what + " answers", () -> Http.get(url).status() == 200);
    }

    private void start(String name, String main) {
        ManagedProcess process = processes.get(name);
        if (process == null) {
            process = add(
                    name,
                    main,
                    HEAP_MEGABYTES,
                    List.of("--settings", folder.resolve(name + ".json").toString()));
        }
        // A second process beside a live one could not listen, and nobody would hold the first one any more.
        if (!process.alive()) {
            process.start();
        }
    }

    private ManagedProcess add(String name, String main, int heapMegabytes, List<String> arguments) {
        ManagedProcess process = new ManagedProcess(name, main, heapMegabytes, folder, arguments);
        processes.put(name, process);
        return process;
    }

    private String address(int index) {
        return network.address(index);
    }

    private List<String> platformArguments() {
        return List.of(
                "platform",
                "--address",
                address(PLATFORM_INDEX),
                "--port",
                Integer.toString(PLATFORM_PORT),
                "--hosts",
                folder.resolve("hosts.json").toString(),
                "--documents",
                folder.resolve("documents").toString());
    }

    private List<String> engineArguments() {
        return List.of(
                "engine",
                "--address",
                address(ENGINE_INDEX) + "," + address(ENGINE_INDEX + 1),
                "--port",
                Integer.toString(ENGINE_PORT),
                "--count",
                Integer.toString(TARGETS_PER_DATA_CENTRE),
                "--slots",
                "4",
                "--token-millis",
                "20",
                "--prefill-tokens-per-second",
                "20000",
                "--cold-requests",
                "2",
                "--models",
                "odpad:v1");
    }

    private List<String> plainArguments() {
        return List.of(
                "plain",
                "--address",
                address(PLAIN_INDEX) + "," + address(PLAIN_INDEX + 1),
                "--port",
                Integer.toString(PLAIN_PORT),
                "--slots",
                "4",
                "--millis",
                "50");
    }

    private String settings(int host, int adminPort, int peerPort, String more) {
        return """
                {"node": {"host": "entry-%d", "dataCentre": "%s", "address": "%s", "environment": "trial",
                  "configurationUrl": "%s", "hostListUrl": "%s", "adminPort": %d, "peerPort": %d,
                  "traces": {"exporter": "none"}}%s}
                """.formatted(
                host, DATA_CENTRES[(host - 1) % 2], address(host), platform(), platform(), adminPort, peerPort, more);
    }

    private String hosts(int count) {
        List<String> entries = new ArrayList<>();
        for (int host = 1; host <= count; host++) {
            entries.add("""
                    {"name": "entry-%d", "address": "%s", "dataCentre": "%s", "state": "LIVE", "entry": {"caller": 8080,
                    "entryPeer": 7001, "schedulerPeer": 7002, "entryAdmin": 9001, "schedulerAdmin": 9002}}""".formatted(host, address(host), DATA_CENTRES[(host - 1) % 2]));
        }
        for (int i = 0; i < DATA_CENTRES.length; i++) {
            for (int engine = 0; engine < TARGETS_PER_DATA_CENTRE; engine++) {
                entries.add(
                        target("lampa-" + i + "-" + engine, ENGINE_INDEX + i, i, "lampa-llm", ENGINE_PORT + engine));
            }
            entries.add(target("zber-" + i, PLAIN_INDEX + i, i, "zber-app", PLAIN_PORT));
        }
        return "{\"revision\": %d, \"hosts\": [%s]}".formatted(revision, String.join(",", entries));
    }

    private String target(String name, int index, int dataCentre, String service, int port) {
        return """
                {"name": "%s", "address": "%s", "dataCentre": "%s", "state": "LIVE",
                "target": {"service": "%s", "port": %d, "hardware": "h1"}}""".formatted(name, address(index), DATA_CENTRES[dataCentre], service, port);
    }

    private static String document(int generation, boolean firstInService, boolean secondInService) {
        return """
                {"generation": %d, "environment": "trial",
                "dataCentres": [{"name": "martin-a", "region": "sk-central", "inService": %b},
                  {"name": "martin-b", "region": "sk-central", "inService": %b}],
                "tiers": [{"name": "inspector", "rank": 3}, {"name": "driver", "rank": 2}, {"name": "school", "rank": 0}],
                "models": [{"name": "odpad", "version": "v1", "expectedAnswerTokens": 64}],
                "services": [{"name": "lampa-llm", "kind": "ENGINE", "models": ["odpad"], "checksFencing": true,
                    "limits": {"cold": 1, "most": 8}},
                  {"name": "zber-app", "kind": "PLAIN", "calls": [{"name": "book-pickup"},
                    {"name": "route-status", "idempotent": true}], "limits": {"cold": 2, "most": 8}}],
                "organisations": [
                  {"name": "regional-office", "credentials": [{"sha256128": "t+6H9javskdo2oFv7afUAQ==", "tier": "inspector"}]},
                  {"name": "drivers", "credentials": [{"sha256128": "uIOSy/fOzPx+ZgYWRod0Hg==", "tier": "driver"}]},
                  {"name": "schools", "credentials": [{"sha256128": "Yyvy9nIQr/LU2y3N3+z0Qg==", "tier": "school"}]}],
                "sealingKeys": [{"id": 1, "key": "As7T0G/0DED5kJba/cITS93tOVSZITSJPbW4lz+lxc4="}],
                "deployments": [{"name": "everywhere", "service": "lampa-llm", "models": ["odpad"]}]}
                """.formatted(generation, firstInService, secondInService);
    }

    private void write(String name, String text) {
        try {
            Path file = folder.resolve(name);
            Files.createDirectories(file.getParent());
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
