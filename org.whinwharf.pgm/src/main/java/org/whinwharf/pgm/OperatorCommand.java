package org.whinwharf.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SettingsFile;
import org.whinwharf.wire.schema.OperatorSettings;

/** Base of the commands: options that all of them take, settings, and the two forms of output. */
public abstract class OperatorCommand {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    @Option(name = "--json", description = "Print JSON for programs instead of text for people")
    private boolean json;

    @Option(name = "--settings", title = "FILE", description = "Settings of the operator, JSON with comments")
    private String settingsFile;

    @Option(
            name = {"-h", "--help"},
            description = "Show this text")
    private boolean help;

    /**
     * Does what the command is for.
     *
     * @param terminal where to read and write
     * @return exit code
     * @throws CommandFailure when it cannot go on
     */
    protected abstract OperatorExit run(Terminal terminal) throws CommandFailure;

    /**
     * Runs the command.
     *
     * @param terminal where to read and write
     * @return exit code
     */
    public final OperatorExit call(Terminal terminal) {
        try {
            return run(terminal);
        } catch (CommandFailure failure) {
            if (json) {
                terminal.out().println(text(new FailureReport(failure.lines())));
            } else {
                failure.lines().forEach(terminal.err()::println);
            }
            return failure.exit();
        }
    }

    /**
     * Prints a result in the form that was asked for.
     *
     * @param terminal where to write
     * @param report the result
     */
    protected final void print(Terminal terminal, Report report) {
        if (json) {
            terminal.out().println(text(report));
        } else {
            report.lines().forEach(terminal.out()::println);
        }
    }

    /**
     * Tells whether output is for programs.
     *
     * @return true with {@code --json}
     */
    protected final boolean isJson() {
        return json;
    }

    /**
     * Reads the settings, if the command line names a file.
     *
     * @return settings; empty without {@code --settings}
     * @throws CommandFailure with all faults when they are wrong
     */
    protected final Optional<OperatorSettings> settings() throws CommandFailure {
        if (settingsFile == null) {
            return Optional.empty();
        }
        ReadResult<OperatorSettings> read =
                SettingsFile.load(Path.of(settingsFile), OperatorSettings.getDefaultInstance());
        if (read instanceof ReadResult.Invalid<OperatorSettings> invalid) {
            throw new CommandFailure(
                    OperatorExit.SETTINGS,
                    invalid.faults().stream().map(Fault::text).toList());
        }
        return Optional.of(((ReadResult.Valid<OperatorSettings>) read).value());
    }

    /**
     * Reads the settings, which the command needs.
     *
     * @return settings
     * @throws CommandFailure when none are named or they are wrong
     */
    protected final OperatorSettings requireSettings() throws CommandFailure {
        return settings().orElseThrow(() -> new CommandFailure(OperatorExit.USAGE, PgmText.get("usage.settings")));
    }

    private static String text(Report report) {
        try {
            return JSON.writeValueAsString(report);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Failure in the form for programs. */
    private record FailureReport(List<String> failures) implements Report {
        @Override
        public List<String> lines() {
            return failures;
        }
    }
}
