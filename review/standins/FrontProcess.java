import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One front, run with the command of the deploy file and the filled-in template of its settings. */
final class FrontProcess {
    static final int FRONT_PORT = 8221;
    static final int READY_PORT = 8224;
    static final int CONTROL_PORT = 8229;
    static final int DIRECTORY_PORT = 8220;
    static final int FIRST_PORT = 7600;
    static final int LAST_PORT = 7615;
    static final int METRICS_PORT = 9464;

    private static final List<FrontProcess> ALL = new ArrayList<>();

    private final Path root;
    private final String name;
    private final String ip;
    private final Path settings;
    private final Path log;
    private final Map<String, String> fields;
    private boolean started;
    private Process process;

    FrontProcess(Path root, Path folder, String name, String ip, String zone, List<String> seedIps, String store) {
        this.root = root;
        this.name = name;
        this.ip = ip;
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        String seeds = String.join(",", seedIps.stream().map(seed -> "\"" + seed + ":" + CONTROL_PORT + "\"").toList());
        fields = new java.util.HashMap<>(Map.ofEntries(
                Map.entry("node", quoted(name)),
                Map.entry("ip", quoted(ip)),
                Map.entry("zone", quoted(zone)),
                Map.entry("listen.front", quoted(ip + ":" + FRONT_PORT)),
                Map.entry("listen.ready-addr", quoted(ip + ":" + READY_PORT)),
                Map.entry("listen.directory", quoted(ip + ":" + DIRECTORY_PORT)),
                Map.entry("port-range.0", "" + FIRST_PORT),
                Map.entry("port-range.1", "" + LAST_PORT),
                Map.entry("seeds", "[" + seeds + "]"),
                Map.entry("bounds.retry-ratio", "0.2"),
                Map.entry("bounds.retry-slack", "54"),
                Map.entry("bounds.retry-window-s", "10"),
                Map.entry("bounds.grace-s", "8"),
                Map.entry("bounds.ttl_max_s", "5"),
                Map.entry("platform.address", quoted(store)),
                Map.entry("platform.history-s", "20"),
                Map.entry("heartbeat-ms", "1200"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.cpu-share", "0.75")));
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    boolean running() {
        return process != null && process.isAlive();
    }

    /** Starts the process; the first start is that of the whole system. */
    void start() throws Exception {
        fields.put("bootstrap", started ? "false" : "true");
        started = true;
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        Matcher template = Pattern.compile("(?m)^template = \"(.*)\"$").matcher(deploy);
        if (!run.find() || !template.find()) {
            throw new IllegalStateException("no command in the deploy file");
        }
        String text = Files.readString(root.resolve(template.group(1)));
        text = text.replaceAll("\\{\\{[#/][^}]*}}", "");
        Matcher placeholder = Pattern.compile("\\{\\{([^|}]*)\\|json}}").matcher(text);
        Files.writeString(settings, placeholder.replaceAll(found -> Matcher.quoteReplacement(fields.get(found.group(1)))));
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("WHINWHARF_NODE_FILE", settings.toString());
        process = builder.start();
        Harness.record("start", name, "pid " + process.pid());
    }

    String log() throws Exception {
        return Files.readString(log);
    }

    void kill() throws Exception {
        Harness.record("SIGKILL", name);
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    void signal(String signal) throws Exception {
        Harness.record("SIG" + signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the status of the readiness check; 0 if there is no answer. */
    int ready() {
        try (Channel channel = new Channel(ip, READY_PORT, 1_000)) {
            return channel.call("GET /whinwharf/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1_000).status();
        } catch (Exception e) {
            return 0;
        }
    }

    /** Ends all processes that were started; returns false if one goes on. */
    static boolean killAll() {
        boolean ended = true;
        synchronized (ALL) {
            for (FrontProcess front : ALL) {
                if (front.running()) {
                    front.process.destroyForcibly();
                }
            }
            for (FrontProcess front : ALL) {
                try {
                    ended &= front.process == null || front.process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    ended = false;
                }
            }
        }
        return ended;
    }
}
