package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.front.Front;
import org.whinwharf.wire.schema.FrontFile;

/** Tests that settings are reloaded whatever has become of an earlier reload. */
class SettingsWatchTest {
    /** Several intervals between checks of the file. */
    private static final long TIMEOUT_SECONDS = 10;
    /** More than an array can hold, so that reading it whole fails on any machine. */
    private static final long HUGE_FILE_BYTES = 3L << 30;

    private final LinkedBlockingQueue<FrontFile> reloaded = new LinkedBlockingQueue<>();
    private Front front;

    @TempDir
    private Path folder;

    @BeforeEach
    void startFront() throws IOException {
        String ip = "127." + ThreadLocalRandom.current().nextInt(1, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
        front = LocalFront.create("front", ip, List.of(), true);
    }

    @AfterEach
    void stopLoop() {
        front.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    private Path write(int peerPort) throws IOException {
        Path file = folder.resolve("settings.json");
        Files.writeString(file, """
                {"host": "h", "address": "10.0.0.1", "dataCentre": "z", "callerAddress": "10.0.0.1:1",
                 "readyAddress": "10.0.0.1:2", "directoryAddress": "10.0.0.1:3", "peerPort": %d,
                 "retryWindowSeconds": 10, "stopGraceSeconds": 8, "directorySeconds": 5, "storeAddress": "10.0.0.9:5"}
                """.formatted(peerPort));
        return file;
    }

    private int nextReload() throws InterruptedException {
        FrontFile file = reloaded.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return file == null ? -1 : file.getPeerPort();
    }

    /** Guards against a file that is too large to be read and ends the checks, so that no later one is taken. */
    @Test
    void hugeFileDoesNotKeepLaterSettingsBack() throws Exception {
        Path file = write(1);
        new SettingsWatch(file, front.loop(), reloaded::add).start();
        assertThat("first settings", nextReload(), is(1));
        try (RandomAccessFile huge = new RandomAccessFile(file.toFile(), "rw")) {
            huge.setLength(HUGE_FILE_BYTES);
        }
        // At least one periodic check meets the huge file.
        TimeUnit.MILLISECONDS.sleep(SettingsWatch.POLL_INTERVAL_MILLIS * 3 / 2);
        write(2);
        assertThat("settings after the huge file", nextReload(), is(2));
    }

    /** Guards against an error in the application of settings that ends the checks of the file. */
    @Test
    void errorInAReloadDoesNotKeepLaterSettingsBack() throws Exception {
        Path file = write(1);
        new SettingsWatch(file, front.loop(), changed -> {
                    reloaded.add(changed);
                    if (changed.getPeerPort() == 1) {
                        throw new StackOverflowError();
                    }
                })
                .start();
        assertThat("settings that fail", nextReload(), is(1));
        write(2);
        int next = nextReload();
        // Settings that failed are tried again until the file changes.
        while (next == 1) {
            next = nextReload();
        }
        assertThat("later settings", next, is(2));
    }
}
