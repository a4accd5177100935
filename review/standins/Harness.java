import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;

/** What all cases share: threads, the record of a run, addresses, and the deployment under test. */
final class Harness {
    private static final long START_NANOS = System.nanoTime();
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
        int exit = 2;
        try {
            exit = held.call() ? 0 : 1;
        } catch (Throwable e) {
            record("could not run", String.valueOf(e));
            e.printStackTrace();
        }
        System.out.println(name + ": " + (exit == 0 ? "held" : exit == 1 ? "BROKEN" : "could not run"));
        Runtime.getRuntime().halt(FrontProcess.killAll() ? exit : 2);
    }
}
