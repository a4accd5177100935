import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** What all cases share: threads, the record of a run, addresses, and the deployment under test. */
final class Harness {
    private static final long START_NANOS = System.nanoTime();
    /** Less than the 120 seconds that a script may take. */
    private static final long MAX_RUN_MILLIS = 110_000;

    private static final List<Path> folders = new ArrayList<>();
    private static final Map<String, Long> sentAtMillis = new ConcurrentHashMap<>();
    private static PrintWriter record;

    /** Work of a thread, which may end with a failure, such as a closed connection. */
    interface Work {
        void run() throws Exception;
    }

    private Harness() {}

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        // The other side has closed the connection, or the case has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static synchronized void openRecord(Path file) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Writes one line: the time in milliseconds, what happened, and its fields. */
    static synchronized void record(String... fields) {
        if (record != null) {
            record.println(nowMillis() + " " + String.join(" | ", fields));
            record.flush();
        }
    }

    /** Remembers when a requester began to send an attempt. */
    static void sending(String attempt) {
        sentAtMillis.put(attempt, nowMillis());
    }

    static long sentAtMillis(String attempt) {
        return sentAtMillis.getOrDefault(attempt, Long.MIN_VALUE);
    }

    /** Ends a case that has too few answers to say anything. */
    static void requireAnswers(int answers, int least) {
        if (answers < least) {
            throw new IllegalStateException("only " + answers + " answers");
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the first three bytes of loopback addresses on which the given ports are free. */
    static String freeNetwork(int... ports) {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            String network = "127." + (2 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
            if (free(network + "1", ports)) {
                return network;
            }
        }
        throw new IllegalStateException("no free loopback addresses");
    }

    private static boolean free(String ip, int... ports) {
        List<ServerSocket> open = new ArrayList<>();
        try {
            for (int port : ports) {
                ServerSocket socket = new ServerSocket();
                open.add(socket);
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            }
            return true;
        } catch (Exception e) {
            return false;
        } finally {
            for (ServerSocket socket : open) {
                try {
                    socket.close();
                } catch (Exception e) {
                    // Nothing is lost with a probe.
                }
            }
        }
    }

    /** Runs a case: exits with its verdict, or with 2 if it could not run. */
    static void main(String name, Callable<Boolean> held) {
        Runtime.getRuntime().addShutdownHook(new Thread(FrontProcess::killAll));
        thread("watchdog", () -> {
            Thread.sleep(MAX_RUN_MILLIS);
            end(name, 2);
        });
        int exit = 2;
        try {
            exit = held.call() ? 0 : 1;
        } catch (Throwable e) {
            record("could not run", String.valueOf(e));
            e.printStackTrace();
        }
        end(name, exit);
    }

    private static void end(String name, int exit) {
        System.out.println(name + ": " + (exit == 0 ? "held" : exit == 1 ? "BROKEN" : "could not run"));
        boolean ended = FrontProcess.killAll();
        deleteFolders();
        Runtime.getRuntime().halt(ended ? exit : 2);
    }

    /** Creates a temporary folder, which is deleted at the end; its content is kept if REVIEW_KEEP is set. */
    static synchronized Path temporaryFolder() throws IOException {
        Path folder = Files.createTempDirectory("review-case");
        folders.add(folder);
        return folder;
    }

    private static synchronized void deleteFolders() {
        for (Path folder : System.getenv("REVIEW_KEEP") == null ? folders : List.<Path>of()) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(folder);
            } catch (IOException e) {
                System.err.println("not deleted: " + e);
            }
        }
    }
}
