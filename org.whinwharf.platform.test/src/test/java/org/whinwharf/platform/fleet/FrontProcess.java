package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One front, run as the platform runs it: the deployed command with filled-in settings, on its own address. */
public final class FrontProcess implements AutoCloseable {
    private static final int CALLER_PORT = 8221;
    private static final int READY_PORT = 8224;
    private static final int CONTROL_PORT = 8229;
    private static final int DIRECTORY_PORT = 8220;
    private static final List<Integer> PEER_PORTS = List.of(7600, 7615);
    private static final int WORKER_HEARTBEAT_MILLIS = 1_200;
    private static final long EXIT_TIMEOUT_SECONDS = 20;
    /** Usual time that the platform leaves a process to stop. */
    static final int GRACE_SECONDS = 8;

    private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

    private final DeployFile deployFile;
    private final String name;
    private final String ip;
    private final Path settingsFile;
    private final Path logFile;
    private final Map<String, Object> fields;
    private volatile Process process;
    private volatile boolean frozen;

    /**
     * Describes a front that is not started.
     *
     * @param name name of the host
     * @param ip its loopback address
     * @param zone its zone
     * @param seeds addresses of the fronts that it asks for others
     * @param storeAddress address of the store
     * @param folder folder for its settings and its log
     */
    FrontProcess(
            DeployFile deployFile,
            String name,
            String ip,
            String zone,
            List<String> seeds,
            String storeAddress,
            Path folder) {
        this.deployFile = deployFile;
        this.name = name;
        this.ip = ip;
        settingsFile = folder.resolve(name + ".json");
        logFile = folder.resolve(name + ".log");
        fields = new HashMap<>(Map.of(
                "node",
                name,
                "ip",
                ip,
                "zone",
                zone,
                "listen",
                Map.of(
                        "front", ip + ":" + CALLER_PORT,
                        "ready-addr", ip + ":" + READY_PORT,
                        "control", ip + ":" + CONTROL_PORT,
                        "directory", ip + ":" + DIRECTORY_PORT),
                "port-range",
                PEER_PORTS,
                "seeds",
                seeds,
                "bootstrap",
                true,
                "bounds",
                bounds(GRACE_SECONDS),
                "platform",
                Map.of("address", storeAddress, "history-s", StoreStandIn.HISTORY_SECONDS),
                "limits",
                Map.of("cores", 1, "cpu-share", 0.75)));
        fields.put("heartbeat-ms", WORKER_HEARTBEAT_MILLIS);
    }

    /** Returns the address under which a front is a seed of others. */
    static String seedAddress(String ip) {
        return ip + ":" + CONTROL_PORT;
    }

    /** Starts the process; only the first start tells it that the whole fleet starts for the first time. */
    public synchronized void start() {
        try {
            Files.writeString(settingsFile, deployFile.settings(fields));
            fields.put("bootstrap", false);
            ProcessBuilder builder = new ProcessBuilder(deployFile.command())
                    .directory(deployFile.root().toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
            builder.environment().keySet().retainAll(PASSED_VARIABLES);
            builder.environment().put("WHINWHARF_NODE_FILE", settingsFile.toString());
            frozen = false;
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the name of the host. */
    public String name() {
        return name;
    }

    /** Returns the loopback address. */
    public String ip() {
        return ip;
    }

    /** Returns the port to which callers connect. */
    public int callerPort() {
        return CALLER_PORT;
    }

    /** Returns the address to which callers connect. */
    public InetSocketAddress callerAddress() {
        return new InetSocketAddress(ip, CALLER_PORT);
    }

    /** Returns the port of the directory. */
    public int directoryPort() {
        return DIRECTORY_PORT;
    }

    /** Returns the port that tells whether the front is ready. */
    public int readyPort() {
        return READY_PORT;
    }

    /** Tells whether the process runs, frozen or not. */
    public boolean running() {
        Process current = process;
        return current != null && current.isAlive();
    }

    /** Tells whether callers can connect, which is so from the start of the program on. */
    public boolean accepts() {
        try (Socket socket = new Socket(ip, CALLER_PORT)) {
            return socket.isConnected();
        } catch (IOException e) {
            // The port is not open.
            return false;
        }
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Asks the process to stop in an orderly way; it goes on until its requests have ended. */
    public void stop() {
        process.destroy();
    }

    /** Changes the grace time in the settings file, which the process learns from a hang-up or by itself. */
    synchronized void setGraceSeconds(int graceSeconds) {
        fields.put("bounds", bounds(graceSeconds));
        try {
            Path next = settingsFile.resolveSibling(name + ".next");
            Files.writeString(next, deployFile.settings(fields));
            Files.move(next, settingsFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, Object> bounds(int graceSeconds) {
        return Map.of(
                "retry-ratio", 0.2, "retry-slack", 54, "retry-window-s", 10, "grace-s", graceSeconds, "ttl_max_s", 5);
    }

    /** Tells the process that its settings file has changed. */
    public void hangUp() {
        signal("HUP");
    }

    /** Stops the process from running until {@link #resume()}. */
    public void freeze() {
        frozen = true;
        signal("STOP");
    }

    /** Lets a frozen process run again. */
    public void resume() {
        frozen = false;
        signal("CONT");
    }

    /** Tells whether the process has the other side of a connection; false if it cannot be told. */
    boolean holds(Socket accepted) {
        String local = String.format(":%04X", accepted.getPort());
        byte[] ip = accepted.getLocalAddress().getAddress();
        String remote = String.format("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], accepted.getLocalPort());
        Set<String> links = new HashSet<>();
        try {
            for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                for (String line : Files.readAllLines(Path.of(table))) {
                    String[] parts = line.trim().split("\\s+");
                    if (parts[1].endsWith(local) && parts[2].endsWith(remote)) {
                        links.add("socket:[" + parts[9] + "]");
                    }
                }
            }
            try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
                return !links.isEmpty() && open.anyMatch(path -> links.contains(link(path)));
            }
        } catch (IOException | UncheckedIOException e) {
            // The process has ended.
            return false;
        }
    }

    private static String link(Path path) {
        try {
            return Files.readSymbolicLink(path).toString();
        } catch (IOException e) {
            // Closed meanwhile.
            return "";
        }
    }

    /** Waits until the process has ended and returns its exit code. */
    public int awaitExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not end");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns the log of all lives of the process so far. */
    public String log() {
        try {
            return Files.exists(logFile) ? Files.readString(logFile) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void signal(String signal) {
        try {
            int exit = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (exit != 0 && running()) {
                throw new IllegalStateException("kill -" + signal + " " + name + " exited with " + exit);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        if (running()) {
            if (frozen) {
                resume();
            }
            kill();
        }
    }
}
