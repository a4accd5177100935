package org.whinwharf.entry;

import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.whinwharf.document.Credentials;
import org.whinwharf.standin.LoopbackNetwork;
import org.whinwharf.standin.Main;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.TargetInfo;

/** Two entry daemons in this process, with a scheduler that grants at once, and stand-ins for the rest. */
final class EntryFixture {
    static final int MAX_CONNECTIONS = 64;
    static final String CREDENTIAL = "driver-of-orava";
    static final String OTHER_CREDENTIAL = "keeper-of-liptov";
    private static final LoopbackNetwork NETWORK = LoopbackNetwork.next();

    static final Host ONE = entryHost("host-1", NETWORK.address(1));
    static final Host TWO = entryHost("host-2", NETWORK.address(2));
    static final Host THREE = entryHost("host-3", NETWORK.address(3));
    static final Host ENGINE = target("engine-1", NETWORK.address(8), "lampa-llm");
    /** The same engine for another service, by way of a link that a test starts. */
    static final Host FAR = target("engine-far", NETWORK.address(7), "lampa-far");

    static final Host PLAIN = target("plain-1", NETWORK.address(9), "zber-app");
    /** A plain service that a test starts. */
    static final Host LOOSE = target("plain-loose", NETWORK.address(6), "zber-loose");

    private static final String PLATFORM = NETWORK.address(10);
    // Below the ports that the system hands to outgoing connections: the daemons connect from their own addresses, and
    // a listener that comes up again could find its port taken by such a connection.
    private static final int CALLER_PORT = 15_001;
    private static final int TARGET_PORT = 15_009;
    private static final int PLATFORM_PORT = 15_010;
    private static final long BOUND_SECONDS = 30;
    private static EntryFixture shared;

    final GrantingScheduler scheduler = new GrantingScheduler(ONE, List.of(ENGINE, FAR, PLAIN, LOOSE));
    final GrantingScheduler otherScheduler = new GrantingScheduler(TWO, List.of(ENGINE, FAR, PLAIN, LOOSE));
    final GrantingScheduler thirdScheduler = new GrantingScheduler(THREE, List.of(ENGINE, FAR, PLAIN, LOOSE));
    final EntryDaemon one = new EntryDaemon(settings(ONE));
    final EntryDaemon two = new EntryDaemon(settings(TWO));
    final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();

    /** Starts the fixture once for all tests of this process, which end it by their exit. */
    static synchronized EntryFixture shared() throws IOException {
        if (shared == null) {
            EntryFixture fixture = new EntryFixture();
            fixture.start(Files.createTempDirectory("entry-fixture"));
            shared = fixture;
        }
        return shared;
    }

    /** Starts an entry daemon on the third host; the test stops it. */
    EntryDaemon startThree() {
        awaitPortsOfThree();
        EntryDaemon daemon = new EntryDaemon(settings(THREE));
        daemon.start();
        until("ready", () -> get(THREE, "/v1/addresses").statusCode() == 200);
        return daemon;
    }

    /**
     * Waits until the ports of the third host are free. The HTTP server closes its listener a moment after its stop
     * returned; a real host is restarted as a new process and does not meet this.
     */
    static void awaitPortsOfThree() {
        EntryPorts ports = THREE.getEntry();
        for (int port : new int[] {ports.getCaller(), ports.getEntryPeer(), ports.getEntryAdmin()}) {
            until("port " + port + " is free", () -> isFree(port));
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(THREE.getAddress(), port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    private void start(Path directory) throws IOException {
        startStandIns(directory);
        scheduler.start();
        otherScheduler.start();
        thirdScheduler.start();
        one.start();
        two.start();
        until("ready", () -> get(ONE, "/v1/addresses").statusCode() == 200);
        until("ready", () -> get(TWO, "/v1/addresses").statusCode() == 200);
    }

    /** Lets all schedulers grant again. */
    void grantAll() {
        refuseAll(null);
        schedulers().forEach(each -> each.silent = false);
    }

    /** Makes all schedulers refuse with one reason. */
    void refuseAll(RefusalReason reason) {
        schedulers().forEach(each -> each.refusal = reason);
    }

    /** Makes no scheduler answer. */
    void silenceAll() {
        schedulers().forEach(each -> each.silent = true);
    }

    List<Finished> finished() {
        return schedulers().stream().flatMap(each -> each.finished.stream()).toList();
    }

    private List<GrantingScheduler> schedulers() {
        return List.of(scheduler, otherScheduler, thirdScheduler);
    }

    HttpResponse<String> get(Host host, String path) {
        return send(request(host, path).GET().build());
    }

    HttpResponse<String> post(Host host, String body) {
        return send(submission(host, body));
    }

    static HttpRequest submission(Host host, String body) {
        return request(host, "/v1/requests")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException broken) {
            throw new IllegalStateException(broken);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    static HttpRequest.Builder request(Host host, String path) {
        return HttpRequest.newBuilder(uri(host.getAddress(), host.getEntry().getCaller(), path))
                .timeout(Duration.ofSeconds(BOUND_SECONDS))
                .header("Authorization", "Bearer " + CREDENTIAL);
    }

    /** Asks a stand-in, or the admin port of a host. */
    String ask(String address, int port, String path) {
        return send(HttpRequest.newBuilder(uri(address, port, path)).build()).body();
    }

    String admin(Host host, String path) {
        return ask(host.getAddress(), host.getEntry().getEntryAdmin(), path);
    }

    String record(Host target) {
        return ask(target.getAddress(), target.getTarget().getPort(), "/v1/record");
    }

    void fault(Host target, String faults) {
        send(HttpRequest.newBuilder(uri(target.getAddress(), target.getTarget().getPort(), "/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(faults))
                .build());
    }

    static void until(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
        while (!holds(condition)) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("never came: " + what);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(interrupted);
            }
        }
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (IllegalStateException notYet) {
            return false;
        }
    }

    private static URI uri(String address, int port, String path) {
        return URI.create("http://" + address + ":" + port + path);
    }

    private static void startStandIns(Path directory) throws IOException {
        HostList list = HostList.newBuilder()
                .setRevision(1)
                .addAllHosts(List.of(ONE, TWO, THREE, ENGINE, FAR, PLAIN, LOOSE))
                .build();
        Path hosts = directory.resolve("hosts.json");
        Files.writeString(hosts, JsonFormat.printer().print(list));
        Path documents = Files.createDirectory(directory.resolve("documents"));
        Files.writeString(documents.resolve("trial.json"), document());
        Main.main(new String[] {
            "platform",
            "--address",
            PLATFORM,
            "--port",
            "" + PLATFORM_PORT,
            "--hosts",
            hosts.toString(),
            "--documents",
            documents.toString()
        });
        Main.main(new String[] {
            "engine", "--address", ENGINE.getAddress(), "--port", "" + TARGET_PORT, "--cold-requests", "16"
        });
        Main.main(
                new String[] {"plain", "--address", PLAIN.getAddress(), "--port", "" + TARGET_PORT, "--millis", "300"});
    }

    private static String document() {
        return """
                {
                  "generation": 1,
                  "environment": "trial",
                  "dataCentres": [{"name": "martin-a", "region": "sk-central"}],
                  "tiers": [{"name": "urgent", "rank": 3}],
                  "models": [{"name": "lampa", "version": "1"}],
                  "services": [
                    {"name": "lampa-llm", "kind": "ENGINE", "models": ["lampa"], "maxBodyBytes": 20000},
                    {"name": "lampa-far", "kind": "ENGINE", "models": ["lampa"], "maxBodyBytes": 20000},
                    {"name": "zber-app", "kind": "PLAIN",
                     "calls": [{"name": "book"}, {"name": "list", "idempotent": true}]},
                    {"name": "zber-loose", "kind": "PLAIN", "calls": [{"name": "list", "idempotent": true}]}
                  ],
                  "organisations": [
                    {"name": "orava", "credentials": [{"sha256128": "%s", "tier": "urgent"}]},
                    {"name": "liptov", "credentials": [{"sha256128": "%s", "tier": "urgent"}]}
                  ],
                  "timing": {"addressesGoodMillis": 1500},
                  "sealingKeys": [{"id": 1, "key": "%s"}]
                }
                """.formatted(hash(CREDENTIAL), hash(OTHER_CREDENTIAL), base64(new byte[32]));
    }

    private static String hash(String credential) {
        return base64(Credentials.hash(credential));
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    static EntrySettings settings(Host host) {
        String platform = "http://" + PLATFORM + ":" + PLATFORM_PORT;
        NodeSettings node = NodeSettings.newBuilder()
                .setHost(host.getName())
                .setDataCentre(host.getDataCentre())
                .setAddress(host.getAddress())
                .setEnvironment("trial")
                .setConfigurationUrl(platform)
                .setHostListUrl(platform)
                .setAdminPort(host.getEntry().getEntryAdmin())
                .setPeerPort(host.getEntry().getEntryPeer())
                .build();
        EntrySettings given = EntrySettings.newBuilder()
                .setNode(node)
                .setCallerPort(CALLER_PORT)
                .setMaxBodyBytes(40_000)
                .setMaxConnections(MAX_CONNECTIONS)
                .build();
        return org.whinwharf.schema.SchemaChecker.complete(given);
    }

    private static Host entryHost(String name, String address) {
        return Host.newBuilder()
                .setName(name)
                .setAddress(address)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.newBuilder()
                        .setCaller(CALLER_PORT)
                        .setEntryPeer(CALLER_PORT + 1)
                        .setSchedulerPeer(CALLER_PORT + 2)
                        .setEntryAdmin(CALLER_PORT + 3))
                .build();
    }

    private static Host target(String name, String address, String service) {
        return Host.newBuilder()
                .setName(name)
                .setAddress(address)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setTarget(TargetInfo.newBuilder().setService(service).setPort(TARGET_PORT))
                .build();
    }
}
