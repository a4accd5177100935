package org.whinwharf.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.standin.LoopbackNetwork;

/** Guards against answers cut off, stalled or garbled by buffers that Netty's adaptive allocator gives out twice. */
class AllocatorTest {
    private static final String ADDRESS = LoopbackNetwork.next().address(1);
    private static final int ADMIN_PORT = 9001;

    @TempDir
    private Path folder;

    private ManagedProcess process;

    @AfterEach
    void kill() {
        process.kill();
    }

    @Test
    void entryUsesThePooledAllocator() throws IOException {
        assertUsesThePooledAllocator("org.whinwharf.entry.Main", ", \"callerPort\": 8080");
    }

    @Test
    void schedulerUsesThePooledAllocator() throws IOException {
        assertUsesThePooledAllocator("org.whinwharf.scheduler.Main", "");
    }

    @Test
    void stewardUsesThePooledAllocator() throws IOException {
        assertUsesThePooledAllocator(
                "org.whinwharf.steward.Main", ", \"weightStoreUrl\": \"http://" + ADDRESS + ":1\"");
    }

    private void assertUsesThePooledAllocator(String main, String more) throws IOException {
        Path settings = folder.resolve("settings.json");
        Files.writeString(settings, """
                {"node": {"host": "entry-1", "dataCentre": "martin-a", "address": "%s", "environment": "trial",
                  "configurationUrl": "http://%s:1", "hostListUrl": "http://%s:1", "adminPort": %d, "peerPort": 7001,
                  "traces": {"exporter": "none"}}%s}
                """.formatted(ADDRESS, ADDRESS, ADDRESS, ADMIN_PORT, more));
        process = ManagedProcess.loggingClasses(main, folder, "--settings", settings.toString());
        process.start();
        Await.until(
                "the process answers",
                () -> Http.get("http://" + ADDRESS + ":" + ADMIN_PORT + "/v1/status")
                                .status()
                        == 200,
                process::logTail);
        assertThat(process.log(), containsString("io.netty.buffer.PooledByteBufAllocator "));
        assertThat(process.log(), not(containsString("io.netty.buffer.AdaptiveByteBufAllocator ")));
    }
}
