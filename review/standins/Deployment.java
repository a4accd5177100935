import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: a store, model workers, plain workers and fronts in four zones, on loopback addresses. */
final class Deployment {
    static final String HOST = "desk.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-d");
    private static final AtomicLong NEXT_ATTEMPT = new AtomicLong(1);

    final Store store;
    final List<Worker> engines = new ArrayList<>();
    final List<Worker> plains = new ArrayList<>();
    final List<FrontProcess> fronts = new ArrayList<>();
    private String tenants = tenant("hule930", KEY, 1_000_000);

    Deployment(int frontCount, int engineCount, int plainCount) throws Exception {
        Path root = Path.of("").toAbsolutePath();
        Path folder = Harness.temporaryFolder();
        String network = Harness.freeNetwork(
                FrontProcess.FRONT_PORT,
                FrontProcess.READY_PORT,
                FrontProcess.CONTROL_PORT,
                FrontProcess.DIRECTORY_PORT,
                FrontProcess.FIRST_PORT,
                FrontProcess.LAST_PORT,
                FrontProcess.METRICS_PORT);
        store = new Store(network + "200");
        configure(7, "");
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Worker(
                    store, network + (100 + i), "i-e" + i + "a91c2", "llm", ZONES.get(i % 4), 8, true));
        }
        for (int i = 0; i < plainCount; i++) {
            plains.add(new Worker(
                    store, network + (150 + i), "i-p" + i + "a91c2", "app", ZONES.get(i % 4), 6, false));
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, frontCount); i++) {
            seeds.add(network + (1 + i));
        }
        for (int i = 0; i < frontCount; i++) {
            fronts.add(new FrontProcess(
                    root, folder, "front-" + i, network + (1 + i), ZONES.get(i % 4), seeds, store.address()));
        }
    }

    /** Writes a version of the configuration; the text is added to its routes. */
    void configure(int version, String moreRoutes) {
        store.put("op/config", "{\"version\":" + version + ",\"routes\":["
                + route("gen", "/gen/", "streaming", 3_000, 300, "llm", 2, true)
                + "," + route("book", "/book/", "unsafe", 1_000, 121, "app", 1, false)
                + "," + route("look", "/look/", "safe", 1_000, 121, "app", 2, false)
                + moreRoutes
                + "],\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":360,"
                + "\"cold-start-s\":3.0,\"cold-per-s\":11.0,\"engine\":{\"slots\":8,\"kv-capacity-tokens\":527789,"
                + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":100,"
                + "\"cold-start-s\":0.0,\"cold-per-s\":0.0}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},"
                + "\"tenants\":[" + tenants + "]}");
    }

    static String tenant(String name, String key, int tokensPerSecond) {
        return "{\"name\":\"" + name + "\",\"api-keys\":[\"" + key + "\"],\"priority\":1,\"unit\":\"token_count\","
                + "\"plain-tokens\":200,\"rate-per-s\":" + tokensPerSecond + ",\"burst\":" + tokensPerSecond + "}";
    }

    /** Sets the tenants of the versions that are written from now on. */
    void tenants(String json) {
        tenants = json;
    }

    static String route(
            String name, String prefix, String kind, int timeoutMillis, int sloMillis, String service, int attempts,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout-ms\":" + timeoutMillis + ",\"slo-ms\":" + sloMillis + ",\"priority\":1,\"service\":\""
                + service + "\",\"attempts\":" + attempts + ",\"public\":false,\"resumable\":" + resumable
                + ",\"gap-target-ms\":" + (kind.equals("streaming") ? 300 : 0) + "}";
    }

    /** Starts all fronts and waits until each is ready and the fleet has settled. */
    void start(int settleMillis) throws Exception {
        for (FrontProcess front : fronts) {
            front.start();
        }
        for (FrontProcess front : fronts) {
            awaitReady(front);
        }
        Thread.sleep(settleMillis);
    }

    static void awaitReady(FrontProcess front) throws Exception {
        long endMillis = Harness.nowMillis() + 30_000;
        while (front.ready() != 200) {
            if (Harness.nowMillis() > endMillis) {
                throw new IllegalStateException(front.name() + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    static String newAttempt() {
        return String.format("9c41d07b%08x", NEXT_ATTEMPT.getAndIncrement());
    }

    /** Returns a request for a short stream. */
    static String generation(String attempt, int deadlineMillis) {
        return generation("/gen/2f", attempt, deadlineMillis);
    }

    /** Returns a request for a stream. */
    static String generation(String path, String attempt, int deadlineMillis) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Model: m\r\nX-Token-Usage: 200,40\r\nX-Prompt-Prefix: 5c1e07a2:60," + attempt + ":140"
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: " + KEY
                + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    /** Returns a request for a short stream whose prompt has several parts, the last one its own. */
    static String session(String attempt, int parts, int deadlineMillis) {
        StringBuilder prefix = new StringBuilder("5c1e07a2:60");
        for (int part = 2; part < parts; part++) {
            prefix.append(String.format(",%s%02x:20", attempt.substring(6), part));
        }
        int tokens = 60 + 20 * Math.max(0, parts - 2) + 140;
        return generation(attempt, deadlineMillis)
                .replaceFirst("X-Prompt-Prefix: [^,]*", "X-Prompt-Prefix: " + prefix)
                .replace("X-Token-Usage: 200,40", "X-Token-Usage: " + tokens + ",40");
    }

    /** Returns a request without a body to a plain service. */
    static String plain(String method, String path, String attempt, int deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: " + KEY + "\r\n\r\n";
    }
}
