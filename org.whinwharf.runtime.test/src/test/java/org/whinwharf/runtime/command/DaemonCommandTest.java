package org.whinwharf.runtime.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.runtime.log.CapturedLog;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.SchedulerSettings;

class DaemonCommandTest {
    private static final long DRAIN_MILLIS = 20;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    @Test
    void helpNamesTheOptions() {
        assertThat(prepare("--help").code(), is(ExitCode.OK));
        assertThat(
                text(out),
                allOf(containsString("--settings"), containsString("--version"), containsString("EXIT CODES")));
    }

    @Test
    void versionIsPrinted() {
        assertThat(prepare("--version").code(), is(ExitCode.OK));
        assertThat(text(out), containsString("whinwharf"));
    }

    @Test
    void wrongCommandLineIsAUsageError() {
        assertThat(prepare("--port", "1").code(), is(ExitCode.USAGE));
        assertThat(prepare().code(), is(ExitCode.USAGE));
        assertThat(text(err), containsString("--settings FILE is required"));
    }

    // An operator gets several settings wrong. Told one fault at a time, the host would be started once for each.
    @Test
    void allFaultsOfTheSettingsArePrintedTogether() throws IOException {
        Path file = write("{\"node\": {\"host\": \"A\", \"adminPort\": 0, \"colour\": 1}}");
        assertThat(prepare("--settings", file.toString()).code(), is(ExitCode.SETTINGS));
        assertThat(
                text(err),
                allOf(
                        containsString("node.host"),
                        containsString("node.adminPort"),
                        containsString("node.colour"),
                        containsString("node.peerPort")));
    }

    @Test
    void goodSettingsGiveADaemonThatHasNotStarted() throws IOException {
        Path file = write("""
                {
                  // A host of the trial environment.
                  "node": {
                    "host": "martin-a-1", "dataCentre": "martin-a", "address": "127.0.0.1", "environment": "trial",
                    "configurationUrl": "http://127.0.0.1:9000", "hostListUrl": "http://127.0.0.1:9000",
                    "adminPort": 7002, "peerPort": 7001
                  }
                }
                """);
        DaemonCommand.Prepared prepared = prepare("--settings", file.toString());
        assertThat(text(err), is(""));
        assertThat(prepared.runner(), notNullValue());
    }

    @Test
    void missingSettingsFileIsASettingsError() {
        DaemonCommand.Prepared prepared =
                prepare("--settings", folder.resolve("absent.json").toString());
        assertThat(prepared.code(), is(ExitCode.SETTINGS));
        assertThat(prepared.runner(), nullValue());
    }

    // A caller holds its stream open for ever while the host is replaced. The stop must end all the same, and say that
    // it cut something off.
    @Test
    void plannedStopEndsWhenTheDrainTakesTooLong() {
        FakeDaemon daemon = new FakeDaemon(new CompletableFuture<>(), null);
        DaemonRunner runner = new DaemonRunner(daemon, 0);
        assertThat(runner.start(), is(ExitCode.OK));
        assertThat(runner.stop(), is(ExitCode.DRAIN_TIMEOUT));
        assertThat(daemon.calls, is(List.of("start", "leave", "stop")));
    }

    // A drain timed out, as it usually does, and its line did not say whether it cut one request or a thousand.
    @Test
    void drainTimeoutSaysWhatItCuts() throws IOException {
        FakeDaemon daemon = new FakeDaemon(new CompletableFuture<>(), null);
        daemon.work = Optional.of(new WorkInFlight(3, 2, 4, List.of("llm/a/0")));
        List<JsonNode> lines = linesOfDrainTimeout(daemon);
        assertThat(lines.size(), is(1));
        assertThat(lines.get(0).get("requests").asInt(), is(3));
        assertThat(lines.get(0).get("queued").asInt(), is(2));
        assertThat(lines.get(0).get("answers").asInt(), is(4));
        assertThat(lines.get(0).get("slices").get(0).asText(), is("llm/a/0"));
        assertThat(lines.get(0).get("stoppingMillis").asLong(), is(greaterThanOrEqualTo(DRAIN_MILLIS)));
    }

    // Counts of a daemon that does not count its work would read as if nothing had been cut.
    @Test
    void drainTimeoutOfADaemonThatCountsNothingHasNoCounts() throws IOException {
        List<JsonNode> lines = linesOfDrainTimeout(new FakeDaemon(new CompletableFuture<>(), null));
        assertThat(lines.size(), is(1));
        assertThat(lines.get(0).has("requests"), is(false));
    }

    @Test
    void plannedStopLeavesBeforeItStops() {
        FakeDaemon daemon = new FakeDaemon(CompletableFuture.completedFuture(null), null);
        assertThat(new DaemonRunner(daemon, 1_000).stop(), is(ExitCode.OK));
        assertThat(daemon.calls, is(List.of("leave", "stop")));
    }

    @Test
    void portInUseHasItsOwnCodeAndWhatWasOpenedIsClosed() {
        RuntimeException inUse = new IllegalStateException("cannot listen", new BindException("in use"));
        FakeDaemon daemon = new FakeDaemon(CompletableFuture.completedFuture(null), inUse);
        assertThat(new DaemonRunner(daemon, 1_000).start(), is(ExitCode.ADDRESS));
        assertThat(daemon.calls, is(List.of("start", "stop")));
    }

    private static List<JsonNode> linesOfDrainTimeout(FakeDaemon daemon) throws IOException {
        try (CapturedLog log = new CapturedLog()) {
            assertThat(new DaemonRunner(daemon, DRAIN_MILLIS).stop(), is(ExitCode.DRAIN_TIMEOUT));
            return log.lines("drain-timeout");
        }
    }

    private DaemonCommand.Prepared prepare(String... arguments) {
        return DaemonCommand.prepare(
                FakeCommand.class, new PrintStream(out, true), new PrintStream(err, true), arguments);
    }

    private Path write(String json) throws IOException {
        return Files.writeString(folder.resolve("settings.json"), json);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Command of a daemon that does nothing. */
    @Command(name = "whinwharf-fake", description = "Does nothing")
    public static final class FakeCommand extends DaemonCommand<SchedulerSettings> {
        @Override
        protected SchedulerSettings prototype() {
            return SchedulerSettings.getDefaultInstance();
        }

        @Override
        protected NodeSettings node(SchedulerSettings checked) {
            return checked.getNode();
        }

        @Override
        protected Daemon daemon(SchedulerSettings checked) {
            return new FakeDaemon(CompletableFuture.completedFuture(null), null);
        }
    }

    private static final class FakeDaemon implements Daemon {
        private final CompletableFuture<Void> drained;
        private final RuntimeException startFailure;
        private final List<String> calls = new ArrayList<>();
        private Optional<WorkInFlight> work = Optional.empty();

        FakeDaemon(CompletableFuture<Void> drained, RuntimeException startFailure) {
            this.drained = drained;
            this.startFailure = startFailure;
        }

        @Override
        public void start() {
            calls.add("start");
            if (startFailure != null) {
                throw startFailure;
            }
        }

        @Override
        public CompletableFuture<Void> leave() {
            calls.add("leave");
            return drained;
        }

        @Override
        public Optional<WorkInFlight> workInFlight() {
            return work;
        }

        @Override
        public void stop() {
            calls.add("stop");
        }
    }
}
