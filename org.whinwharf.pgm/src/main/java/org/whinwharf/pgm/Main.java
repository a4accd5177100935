package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.runtime.command.ProgramVersion;
import org.whinwharf.text.Text;
import org.whinwharf.wire.netty.NettyBuffers;

/** The operators' program, {@code whinwharf}. */
@Cli(
        name = "whinwharf",
        description = "Checks, compares and promotes documents, and tells how the fleet stands",
        commands = {
            Check.class,
            Diff.class,
            Promote.class,
            Status.class,
            Explain.class,
            Trace.class,
            Call.class,
            Credential.class
        })
public final class Main {
    private static final List<String> HELP = List.of("-h", "--help", "help");
    private static final String VERSION = "--version";
    private static final String LOG_CONFIGURATION = "log4j2.configurationFile";
    private static final String LOG_FILE = "classpath:org/whinwharf/pgm/log.xml";

    private Main() {}

    /**
     * Runs one command and exits.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        NettyBuffers.usePooledAllocator();
        if (System.getProperty(LOG_CONFIGURATION) == null) {
            System.setProperty(LOG_CONFIGURATION, LOG_FILE);
        }
        OperatorExit exit = run(Terminal.system(), arguments);
        System.out.flush();
        System.exit(exit.code());
    }

    /**
     * Runs one command.
     *
     * @param terminal where to read and write
     * @param arguments command line
     * @return exit code
     */
    public static OperatorExit run(Terminal terminal, String... arguments) {
        com.github.rvesse.airline.Cli<OperatorCommand> cli = new com.github.rvesse.airline.Cli<>(Main.class);
        List<String> words = Arrays.asList(arguments);
        if (words.contains(VERSION)) {
            terminal.out().println(Text.get("version", ProgramVersion.get()));
            return OperatorExit.OK;
        }
        if (words.isEmpty() || words.stream().anyMatch(HELP::contains)) {
            return help(cli, words, terminal);
        }
        try {
            return cli.parse(arguments).call(terminal);
        } catch (ParseException e) {
            terminal.err().println(PgmText.get("usage.bad", e.getMessage()));
            return OperatorExit.USAGE;
        }
    }

    private static OperatorExit help(
            com.github.rvesse.airline.Cli<OperatorCommand> cli, List<String> words, Terminal terminal) {
        List<String> command = words.stream()
                .filter(word -> !word.startsWith("-") && !HELP.contains(word))
                .limit(1)
                .toList();
        try {
            Help.help(cli.getMetadata(), command, terminal.out());
            return words.isEmpty() ? OperatorExit.USAGE : OperatorExit.OK;
        } catch (IOException e) {
            terminal.err().println(e.getMessage());
            return OperatorExit.FAILED;
        }
    }
}
