package org.whinwharf.runtime.command;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.google.protobuf.Message;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SettingsFile;
import org.whinwharf.text.Text;
import org.whinwharf.wire.netty.NettyBuffers;
import org.whinwharf.wire.schema.NodeSettings;

/**
 * Command line of a daemon. A subclass carries Airline's {@code Command} annotation and needs a public constructor
 * without parameters.
 *
 * @param <S> type of the daemon's settings
 */
@ExitCodes(
        codes = {0, 1, 2, 3, 4, 5},
        descriptions = {
            "Stopped as asked, or help or version was printed",
            "Failed for another reason than those below",
            "The command line is wrong",
            "The settings are wrong; every fault was printed and no port was opened",
            "A port or address of the settings could not be used",
            "Stopped as asked, but work was still in flight when drainMillis had passed"
        })
public abstract class DaemonCommand<S extends Message> {
    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "Settings of this process, JSON with comments")
    private String settingsFile;

    @Option(
            name = {"-h", "--help"},
            description = "Show this text")
    private boolean help;

    @Option(
            name = {"--version"},
            description = "Show the version")
    private boolean version;

    private S settings;

    /**
     * Returns an empty message of the settings.
     *
     * @return any instance
     */
    protected abstract S prototype();

    /**
     * Returns the part of the settings that all daemons share.
     *
     * @param checked settings without faults
     * @return that part
     */
    protected abstract NodeSettings node(S checked);

    /**
     * Makes the daemon. Opens no port.
     *
     * @param checked settings without faults
     * @return a daemon, not yet started
     */
    protected abstract Daemon daemon(S checked);

    /**
     * Checks what the schema cannot say, such as files that must be readable.
     *
     * @param checked settings that match the schema
     * @return faults in words; empty when there is none
     */
    protected List<String> check(S checked) {
        return List.of();
    }

    /**
     * Runs a daemon until it is told to stop, and exits.
     *
     * @param type class of the command
     * @param arguments the command line
     */
    public static void main(Class<? extends DaemonCommand<?>> type, String... arguments) {
        NettyBuffers.usePooledAllocator();
        Prepared prepared = prepare(type, System.out, System.err, arguments);
        ExitCode code = prepared.runner() == null ? prepared.code() : serve(prepared.runner());
        // Not exit: the shutdown hook is this process's own stop, and a daemon that failed to start has none left.
        LogManager.shutdown();
        Runtime.getRuntime().halt(code.code());
    }

    /**
     * Reads the command line and the settings. Opens no port.
     *
     * @param type class of the command
     * @param out where help and version go
     * @param err where faults go
     * @param arguments the command line
     * @return what to run, or the code to exit with
     */
    public static Prepared prepare(
            Class<? extends DaemonCommand<?>> type, PrintStream out, PrintStream err, String... arguments) {
        SingleCommand<? extends DaemonCommand<?>> parser = SingleCommand.singleCommand(type);
        try {
            DaemonCommand<?> command = parser.parse(arguments);
            return command.prepare(parser, out, err);
        } catch (ParseException e) {
            err.println(RuntimeText.get("usage.bad", e.getMessage()));
            return new Prepared(null, ExitCode.USAGE);
        }
    }

    private Prepared prepare(SingleCommand<?> parser, PrintStream out, PrintStream err) {
        if (help) {
            return new Prepared(null, printHelp(parser, out));
        }
        if (version) {
            out.println(Text.get("version", ProgramVersion.get()));
            return new Prepared(null, ExitCode.OK);
        }
        if (settingsFile == null) {
            err.println(RuntimeText.get("usage.settings"));
            return new Prepared(null, ExitCode.USAGE);
        }
        return load(err);
    }

    private Prepared load(PrintStream err) {
        ReadResult<S> result = SettingsFile.load(Path.of(settingsFile), prototype());
        if (result instanceof ReadResult.Invalid<S> invalid) {
            return refuse(err, invalid.faults().stream().map(Fault::text).toList());
        }
        settings = ((ReadResult.Valid<S>) result).value();
        List<String> faults = check(settings);
        if (!faults.isEmpty()) {
            return refuse(err, faults);
        }
        return new Prepared(new DaemonRunner(daemon(settings), node(settings).getDrainMillis()), ExitCode.OK);
    }

    private static Prepared refuse(PrintStream err, List<String> faults) {
        err.println(RuntimeText.get("settings.faults", faults.size()));
        faults.forEach(err::println);
        return new Prepared(null, ExitCode.SETTINGS);
    }

    private static ExitCode printHelp(SingleCommand<?> parser, PrintStream out) {
        try {
            Help.help(parser.getCommandMetadata(), out);
            return ExitCode.OK;
        } catch (IOException e) {
            return ExitCode.FAILED;
        }
    }

    private static ExitCode serve(DaemonRunner runner) {
        ExitCode started = runner.start();
        if (started != ExitCode.OK) {
            return started;
        }
        CountDownLatch never = new CountDownLatch(1);
        Thread hook = new Thread(() -> stopAndHalt(runner), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        awaitForever(never);
        return ExitCode.OK;
    }

    private static void stopAndHalt(DaemonRunner runner) {
        ExitCode code = runner.stop();
        LogManager.shutdown();
        // The virtual machine would exit with 128 + 15 after SIGTERM; operators rely on the documented codes.
        Runtime.getRuntime().halt(code.code());
    }

    private static void awaitForever(CountDownLatch never) {
        while (true) {
            try {
                never.await();
                return;
            } catch (InterruptedException e) {
                // Nothing in this program interrupts the main thread; the shutdown hook alone ends it.
                Thread.onSpinWait();
            }
        }
    }

    /**
     * What a command line asks for.
     *
     * @param runner runs the daemon; null when there is nothing to run
     * @param code code to exit with when there is nothing to run
     */
    public record Prepared(DaemonRunner runner, ExitCode code) {}
}
