package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import org.whinwharf.lifecycle.Service;

/** Seven fronts in four zones as processes of their own, before one store, all on loopback addresses. */
public final class DeployedFleet implements Service, AutoCloseable {
    private static final List<String> ZONES = List.of("za", "za", "zb", "zb", "zc", "zc", "zd");
    /** Number of fronts. */
    static final int FRONTS = ZONES.size();

    private static final int SEEDS = 3;
    /** Last byte of the store's address for the first front. */
    private static final int FIRST_STORE_IP = 240;

    private static final int STORE_PORT = 8225;
    private static final long START_TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLIS = 50;
    private static final int PROBE_TIMEOUT_MILLIS = 1_000;

    private final String network = "127."
            + ThreadLocalRandom.current().nextInt(1, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final DeployFile deployFile = DeployFile.read();
    private final StoreStandIn store = new StoreStandIn(network + "250", STORE_PORT);
    private final List<FrontProcess> fronts = new ArrayList<>();
    private final Thread closeAtExit = new Thread(this::closeFronts, "end of the fleet");

    /** Describes a fleet that is not started. */
    public DeployedFleet() throws IOException {
        this(i -> Optional.empty());
    }

    /**
     * Describes a fleet that is not started.
     *
     * @param otherBuild root of the repository of another build for a front, by its index; empty for this one
     */
    DeployedFleet(IntFunction<Optional<Path>> otherBuild) throws IOException {
        Path folder = Files.createTempDirectory("whinwharf-fleet");
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) {
            seeds.add(FrontProcess.seedAddress(network + (i + 1)));
        }
        for (int i = 0; i < ZONES.size(); i++) {
            String storeIp = ip(FIRST_STORE_IP + i);
            store.addAddress(storeIp, ip(i + 1));
            fronts.add(new FrontProcess(
                    otherBuild.apply(i).map(DeployFile::read).orElse(deployFile),
                    "front-" + ZONES.get(i) + "-" + (i + 1),
                    network + (i + 1),
                    ZONES.get(i),
                    seeds,
                    storeIp + ":" + STORE_PORT,
                    folder));
        }
    }

    /** Starts the store and all fronts; the store must hold a configuration before the fronts become ready. */
    @Override
    public void start() {
        try {
            deployFile.trainArchive();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        Runtime.getRuntime().addShutdownHook(closeAtExit);
        store.start();
        fronts.forEach(FrontProcess::start);
    }

    /** Returns an unused loopback address for a target or a caller. */
    public String ip(int lastByte) {
        return network + lastByte;
    }

    /** Returns the store. */
    public StoreStandIn store() {
        return store;
    }

    /** Returns all fronts, running or not. */
    public List<FrontProcess> fronts() {
        return List.copyOf(fronts);
    }

    /** Tells whether a front says that it is ready. */
    public boolean ready(FrontProcess front) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + front.ip() + ":" + front.readyPort() + "/whinwharf/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(PROBE_TIMEOUT_MILLIS);
            connection.setReadTimeout(PROBE_TIMEOUT_MILLIS);
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all fronts are ready. */
    public void awaitReady() {
        fronts.forEach(front -> await("ready: " + front.name(), () -> ready(front)));
    }

    /** Waits until a condition holds; fails after a time that only ends a test that would never end. */
    public static void await(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("never came: " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    private void closeFronts() {
        fronts.forEach(FrontProcess::close);
    }

    @Override
    public void stop() {
        closeFronts();
        store.stop();
        Runtime.getRuntime().removeShutdownHook(closeAtExit);
    }

    @Override
    public void close() {
        stop();
    }
}
