import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for store, workers and requesters as PROTOCOL.md describes them, and the fronts as processes. */
final class Rig implements AutoCloseable {
    static final long START_NANOS = System.nanoTime();
    /** Loopback network of this run, so that two runs at once do not meet. */
    private static final String NET = "127." + (16 + ProcessHandle.current().pid() % 200) + "."
            + 4 * (ProcessHandle.current().pid() / 200 % 60);
    private static final String STORE_HOST = NET + ".200";
    private static final String WORKER_HOSTS = NET + ".1";
    private static final String ZONE = "zilina-a";

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final PrintWriter record;
    final Store store;
    final List<Front> fronts = new ArrayList<>();
    final List<Worker> workers = Collections.synchronizedList(new ArrayList<>());
    private final Path temporary;
    private final AtomicInteger nextId = new AtomicInteger(1);
    private final String day = Long.toHexString(System.nanoTime() & 0xffffff);

    Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("review-2-");
        store = new Store();
        // Also when the script is ended before the case is.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endFronts));
        note("trouble " + trouble);
    }

    private static String host(int index) {
        return NET + "." + (1 + index);
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", now() / 1e3, line));
    }

    String newAttemptId() {
        return day + "-" + nextId.getAndIncrement();
    }

    static void sleepUntil(long atMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, atMillis - now()));
    }

    static Thread thread(String name, Action action) {
        Thread thread = new Thread(
                () -> {
                    try {
                        action.run();
                    } catch (Exception e) {
                        // The stand-ins show what they see in the record; a channel that has ended ends its thread.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Action {
        void run() throws Exception;
    }

    @Override
    public void close() {
        endFronts();
        record.close();
    }

    /** Ends all fronts, waits for their ends, and removes the temporary folder. */
    private void endFronts() {
        fronts.forEach(Front::kill);
        fronts.forEach(Front::awaitEnd);
        try (var files = Files.walk(temporary)) {
            files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // It is gone already.
        }
    }

    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    /** Returns a port below those that the system gives to outgoing connections, free at all hosts of the fronts. */
    static int freePort(String ip) throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 1_000; tries++) {
            int port = 10_000 + random.nextInt(20_000);
            if (TAKEN.add(port) && freeAtAll(port)) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private static boolean freeAtAll(int port) {
        for (int i = 0; i < 3; i++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host(i)))) {
                socket.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    // ---- fronts

    /** Starts fronts, and waits until all are ready. */
    void startFronts(int count) throws Exception {
        int peer = freePort(host(0));
        int relay = freePort(host(0));
        int metrics = freePort(host(0));
        for (int i = 0; i < count; i++) {
            fronts.add(new Front("front-" + ZONE + "-" + (i + 1), host(i), peer, relay, metrics, count));
        }
        for (Front front : fronts) {
            front.start(true);
        }
        long until = now() + 20_000;
        for (Front front : fronts) {
            while (!front.ready()) {
                if (now() > until) {
                    throw new IOException(front.name + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        // Membership and coordinators settle.
        Thread.sleep(6_000);
        note("fronts are ready");
    }

    final class Front {
        final String name;
        final String ip;
        final int callerPort;
        final int readyPort;
        final int directoryPort;
        private final int peerPort;
        private final int relayPort;
        private final int metricsPort;
        private final int count;
        Process process;

        Front(String name, String ip, int peerPort, int relayPort, int metricsPort, int count) throws IOException {
            this.name = name;
            this.ip = ip;
            this.peerPort = peerPort;
            this.relayPort = relayPort;
            this.metricsPort = metricsPort;
            this.count = count;
            callerPort = freePort(ip);
            readyPort = freePort(ip);
            directoryPort = freePort(ip);
        }

        void start(boolean bootstrap) throws IOException {
            Map<String, String> fields = new TreeMap<>();
            fields.put("node", quoted(name));
            fields.put("ip", quoted(ip));
            fields.put("zone", quoted(ZONE));
            fields.put("listen.front", quoted(ip + ":" + callerPort));
            fields.put("listen.ready-addr", quoted(ip + ":" + readyPort));
            fields.put("listen.directory", quoted(ip + ":" + directoryPort));
            fields.put("port-range.0", "" + peerPort);
            fields.put("port-range.1", "" + relayPort);
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                seeds.add(quoted(host(i) + ":8229"));
            }
            fields.put("seeds", "[" + String.join(",", seeds) + "]");
            fields.put("bootstrap", "" + bootstrap);
            fields.put("bounds.retry-ratio", "0.2");
            fields.put("bounds.retry-slack", "54");
            fields.put("bounds.retry-window-s", "10");
            fields.put("bounds.grace-s", "8");
            fields.put("bounds.ttl_max_s", "5");
            fields.put("platform.address", quoted(store.address()));
            fields.put("platform.history-s", "20");
            fields.put("heartbeat-ms", "1200");
            fields.put("limits.cores", "1");
            fields.put("limits.cpu-share", "0.75");
            String text = Files.readString(root.resolve("deploy/settings.template.json"))
                    .replaceAll("\\{\\{[#/^][^}]*}}", "")
                    .replace("\"metricsPort\": 9464", "\"metricsPort\": " + metricsPort);
            Matcher holes = Pattern.compile("\\{\\{([^}|]+)\\|json}}").matcher(text);
            String filled = holes.replaceAll(hole -> Matcher.quoteReplacement(fields.get(hole.group(1))));
            Path settings = temporary.resolve(name + ".json");
            Files.writeString(settings, filled);
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    command.addAll(List.of(line.substring(7, line.length() - 1).split(" ")));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("WHINWHARF_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
            process = builder.start();
            note(name + " started");
        }

        boolean ready() {
            try (Channel channel = new Channel(ip, readyPort)) {
                channel.send("GET /whinwharf/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                return channel.readAnswer().status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String resolve() throws IOException {
            try (Channel channel = new Channel(ip, directoryPort)) {
                channel.send("GET /whinwharf/resolve?name=ficu95.example&region=sk-central&zone=" + ZONE
                        + " HTTP/1.1\r\nHost: x\r\n\r\n");
                return new String(channel.readAnswer().body, StandardCharsets.UTF_8);
            }
        }

        /** Sends SIGTERM. */
        void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        /** Sends SIGKILL. */
        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        private void awaitEnd() {
            try {
                if (process != null) {
                    process.waitFor(3, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static String quoted(String text) {
        return '"' + text + '"';
    }

    // ---- HTTP

    /** A head and the framing of its body. */
    static class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        int status;
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** One end of a connection that speaks HTTP/1.1. */
    static final class Channel implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Channel(String ip, int port) throws IOException {
            this(connected(ip, port));
        }

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = socket.getOutputStream();
        }

        private static Socket connected(String ip, int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            return socket;
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("end of the channel");
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        Message readHead() throws IOException {
            Message message = new Message();
            message.startLine = line();
            for (String line = line(); !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            return message;
        }

        byte[] exactly(int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("end within a body");
            }
            return bytes;
        }

        Message readRequest() throws IOException {
            Message request = readHead();
            readBody(request, false);
            return request;
        }

        Message readAnswer() throws IOException {
            Message answer = readHead();
            answer.status = Integer.parseInt(answer.startLine.split(" ")[1]);
            readBody(answer, true);
            return answer;
        }

        /** Reads the body; sets {@code complete} only if the framing shows that it is whole. */
        void readBody(Message message, boolean answer) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if (message.header("transfer-encoding").equals("chunked")) {
                    for (int size = Integer.parseInt(line(), 16); ; size = Integer.parseInt(line(), 16)) {
                        body.write(exactly(size));
                        line();
                        if (size == 0) {
                            break;
                        }
                    }
                } else if (!message.header("content-length").isEmpty()) {
                    body.write(exactly(Integer.parseInt(message.header("content-length"))));
                } else if (answer) {
                    body.write(in.readAllBytes());
                }
                message.complete = true;
            } catch (EOFException | SocketException | SocketTimeoutException e) {
                message.complete = false;
            }
            message.body = body.toByteArray();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed either way.
            }
        }
    }

    // ---- the platform's store

    final class Store {
        private record Event(String key, String value, long revision, long created) {}

        private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName(STORE_HOST));
        private final Map<String, Event> items = new TreeMap<>();
        private final List<Event> history = new ArrayList<>();
        private long revision = 100;

        Store() throws IOException {
            thread("store", () -> {
                while (true) {
                    Socket socket = server.accept();
                    thread("store call", () -> serve(new Channel(socket)));
                }
            });
        }

        String address() {
            return STORE_HOST + ":" + server.getLocalPort();
        }

        synchronized void put(String key, String value) {
            revision++;
            Event before = items.get(key);
            Event event = new Event(
                    key,
                    Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
                    revision,
                    before == null ? revision : before.created());
            items.put(key, event);
            history.add(event);
            notifyAll();
        }

        synchronized void remove(String key) {
            revision++;
            items.remove(key);
            history.add(new Event(key, null, revision, 0));
            notifyAll();
        }

        private void serve(Channel channel) throws Exception {
            try (channel) {
                while (true) {
                    Message request = channel.readRequest();
                    String body = answer(request.startLine.split(" ")[1]);
                    channel.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
                }
            }
        }

        private synchronized String answer(String uri) throws InterruptedException {
            Map<String, String> query = new TreeMap<>();
            for (String part : uri.substring(uri.indexOf('?') + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
            String prefix = query.getOrDefault("prefix", "");
            if (uri.startsWith("/whinwharf/kv-range")) {
                List<String> found = new ArrayList<>();
                items.values().stream().filter(item -> item.key().startsWith(prefix)).forEach(item -> found.add(json(item)));
                return "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"store-revision\":" + revision
                        + "}";
            }
            long after = Long.parseLong(query.get("after"));
            long until = now() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
            while (true) {
                List<String> found = new ArrayList<>();
                history.stream()
                        .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                        .forEach(event -> found.add(json(event)));
                long left = until - now();
                if (!found.isEmpty() || left <= 0) {
                    return "{\"events\":[" + String.join(",", found) + "],\"store-revision\":" + revision + "}";
                }
                wait(left);
            }
        }

        private String json(Event event) {
            return event.value() == null
                    ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision() + ",\"removed\":true}"
                    : "{\"key\":\"" + event.key() + "\",\"value\":\"" + event.value() + "\",\"revision\":"
                            + event.revision() + ",\"created-at\":" + event.created() + ",\"lease\":0}";
        }
    }

    // ---- workers

    /** A worker that runs what names its id, and answers 421 to the rest. */
    class Worker {
        final String id;
        final String service;
        final ServerSocket server;
        final int slots;
        final long born = System.currentTimeMillis();
        final AtomicLong seq = new AtomicLong();
        final AtomicInteger channels = new AtomicInteger();
        volatile String state = "ready";
        volatile boolean beating = true;
        /** Attempt ids in the order in which their runs began. */
        final List<String> ran = Collections.synchronizedList(new ArrayList<>());
        /** Events made of each stream under way, by its attempt id. */
        final Map<String, Integer> underWay = new ConcurrentHashMap<>();
        final String version;
        /** Address that the worker publishes in place of its own, as a proxy stands before it; null for none. */
        final Proxy proxy;

        Worker(String id, String service, int slots) throws IOException {
            this(id, service, slots, "v1", false);
        }

        Worker(String id, String service, int slots, String version, boolean behindProxy) throws IOException {
            this.id = id;
            this.version = version;
            this.service = service;
            this.slots = slots;
            server = new ServerSocket(0, 200, InetAddress.getByName(WORKER_HOSTS + (10 + workers.size())));
            workers.add(this);
            proxy = behindProxy ? new Proxy(server) : null;
            thread(id, () -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(id + " channel", () -> serve(new Channel(socket)));
                }
            });
            thread(id + " beats", () -> {
                while (true) {
                    if (beating) {
                        beat();
                    }
                    Thread.sleep(1_200);
                }
            });
        }

        String address() {
            ServerSocket server = proxy == null ? this.server : proxy.server;
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        void beat() {
            store.put(
                    "servers/" + id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + ZONE
                            + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                            + "\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                            + "\"adapters\":[]}],\"born\":" + born + ",\"seq\":" + seq.incrementAndGet() + "}");
        }

        private void serve(Channel channel) throws Exception {
            channels.incrementAndGet();
            try (channel) {
                while (true) {
                    Message request = channel.readHead();
                    String uri = request.startLine.split(" ")[1];
                    String expected = request.header("x-expect-instance");
                    if (uri.equals("/whinwharf/report")) {
                        channel.readBody(request, false);
                        plain(channel, "200 OK", "Content-Type: application/json\r\n",
                                "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                                        + "\"busy\":false,\"seq\":" + seq.get() + ",\"queued\":0,\"active\":0,"
                                        + "\"kv-used\":0,\"kv-total\":500000,\"handles\":0,\"runs\":" + runs() + ",\"born\":"
                                        + born + "}");
                    } else if (uri.equals("/healthz")) {
                        channel.readBody(request, false);
                        plain(channel, "200 OK", "X-Instance-Id: " + id + "\r\n", "ok");
                    } else if (!expected.isEmpty() && !expected.equals(id)) {
                        channel.readBody(request, false);
                        plain(channel, "421 Misdirected Request",
                                "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                                        + request.header("x-attempt-id") + "\r\n", "");
                    } else {
                        run(channel, request);
                    }
                }
            } finally {
                channels.decrementAndGet();
            }
        }

        /** Runs a request: a stream if its path begins with /s, a short answer otherwise. */
        void run(Channel channel, Message request) throws Exception {
            channel.readBody(request, false);
            if (!request.complete) {
                throw new EOFException("part of a request");
            }
            begins(request);
            String uri = request.startLine.split(" ")[1];
            if (uri.startsWith("/s")) {
                stream(channel, request, Integer.parseInt(request.header("x-test-events")),
                        Long.parseLong(request.header("x-test-pause-ms")));
            } else {
                Thread.sleep(20);
                plain(channel, "200 OK", sealed(request), "done " + request.header("x-attempt-id"));
            }
        }

        void begins(Message request) {
            ran.add(request.header("x-attempt-id"));
            note(id + " of " + service + " runs " + request.header("x-attempt-id") + " "
                    + request.startLine.split(" ")[1]);
        }

        /** Returns the runs that have made events, as the report has them. */
        private String runs() {
            List<String> entries = new ArrayList<>();
            underWay.forEach((attemptId, events) -> entries.add("[\"" + attemptId + "\",600," + events + ",1]"));
            return "[" + String.join(",", entries) + "]";
        }

        String sealed(Message request) {
            return "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Server-Seal: seal-" + id + "\r\n";
        }

        /** Sends a stream, from after the event that the request names; ends with its channel. */
        void stream(Channel channel, Message request, int events, long pauseMillis) throws Exception {
            String attemptId = request.header("x-attempt-id");
            String after = request.header("last-event-id");
            channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + sealed(request) + "\r\n");
            try {
                for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
                    Thread.sleep(pauseMillis);
                    underWay.put(attemptId, event);
                    String text = "id: " + event + "\ndata: piece " + event + " of " + events + " by " + version + "\n\n";
                    channel.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                }
                channel.send("0\r\n\r\n");
                note(id + " has sent all of " + attemptId);
            } finally {
                underWay.remove(attemptId);
            }
        }

        void plain(Channel channel, String status, String headers, String body) throws IOException {
            channel.send("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n"
                    + body);
        }
    }

    // ---- proxies

    /** Passes on the channels to a worker; those that are open may go silent for good, while new ones work. */
    static final class Proxy {
        final ServerSocket server;
        private final List<Pump> pumps = Collections.synchronizedList(new ArrayList<>());

        Proxy(ServerSocket worker) throws IOException {
            server = new ServerSocket(0, 200, worker.getInetAddress());
            thread("proxy", () -> {
                while (true) {
                    Socket caller = server.accept();
                    Socket onward = new Socket(worker.getInetAddress(), worker.getLocalPort());
                    new Pump(caller, onward).start();
                    new Pump(onward, caller).start();
                }
            });
        }

        /** Lets all open channels go silent: nothing more is passed on, neither bytes nor ends. */
        void silence() {
            synchronized (pumps) {
                pumps.forEach(pump -> pump.silent = true);
            }
        }

        private final class Pump extends Thread {
            private final Socket from;
            private final Socket to;
            private volatile boolean silent;

            Pump(Socket from, Socket to) throws IOException {
                this.from = from;
                this.to = to;
                to.setTcpNoDelay(true);
                setDaemon(true);
                pumps.add(this);
            }

            @Override
            public void run() {
                byte[] bytes = new byte[16_384];
                try {
                    for (int read = from.getInputStream().read(bytes);
                            read >= 0;
                            read = from.getInputStream().read(bytes)) {
                        if (!silent) {
                            to.getOutputStream().write(bytes, 0, read);
                        }
                    }
                } catch (IOException e) {
                    // One side has ended, which the other one learns below.
                }
                if (!silent) {
                    closeBoth();
                }
            }

            private void closeBoth() {
                try (from;
                        to) {
                    pumps.remove(this);
                } catch (IOException e) {
                    // They are closed either way.
                }
            }
        }
    }

    // ---- configuration and requests

    /** Writes a configuration with a model service (streams below /s/, resumable ones below /r/) and a plain one. */
    void putConfig(long version) {
        String common = "\"host\":\"ficu95.example\",\"public\":false,";
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":["
                        + "{\"name\":\"r1\"," + common
                        + "\"prefix\":\"/s/\",\"kind\":\"streaming\",\"timeout-ms\":15000,\"slo-ms\":800,"
                        + "\"priority\":0,\"service\":\"llm\",\"attempts\":1,\"sticky\":true,\"resumable\":false,"
                        + "\"gap-target-ms\":250},"
                        + "{\"name\":\"r2\"," + common
                        + "\"prefix\":\"/sr/\",\"kind\":\"streaming\",\"timeout-ms\":12000,\"slo-ms\":300,"
                        + "\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"sticky\":true,\"resumable\":true,"
                        + "\"gap-target-ms\":250},"
                        + "{\"name\":\"r3\"," + common
                        + "\"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout-ms\":1000,\"slo-ms\":121,"
                        + "\"priority\":2,\"service\":\"app\",\"attempts\":1},"
                        + "{\"name\":\"r4\"," + common
                        + "\"prefix\":\"/look/\",\"kind\":\"safe\",\"timeout-ms\":1000,\"slo-ms\":121,"
                        + "\"priority\":2,\"service\":\"app\",\"attempts\":2}],"
                        + "\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":360,"
                        + "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0,"
                        + "\"engine\":{\"slots\":8,\"kv-capacity-tokens\":527789,\"models\":[{\"name\":\"m\"}]}},"
                        + "{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\","
                        + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],"
                        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                        + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"k1\"],\"priority\":1,"
                        + "\"unit\":\"token_count\",\"plain-tokens\":200,\"rate-per-s\":1000000,"
                        + "\"burst\":1000000}]}");
    }

    /** Returns the head of a request up to its empty line, which the caller adds. */
    String head(String method, String path, String attemptId, long deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attemptId
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: k1\r\n";
    }

    /** Returns a request for a stream of a number of events. */
    String streamRequest(String path, String attemptId, long deadlineMillis, int events, long pauseMillis) {
        return head("POST", path, attemptId, deadlineMillis) + "X-Model: m\r\nX-Token-Usage: 600,300\r\n"
                + "X-Prompt-Prefix: " + Integer.toHexString(attemptId.hashCode()) + ":600\r\n"
                + "X-Test-Events: " + events + "\r\nX-Test-Pause-Ms: " + pauseMillis
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }
}
