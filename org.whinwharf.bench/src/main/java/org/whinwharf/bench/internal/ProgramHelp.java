package org.whinwharf.bench.internal;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/** Shows how a program is called, also when options that it requires are missing. */
public final class ProgramHelp {
    private ProgramHelp() {}

    /**
     * Shows the usage when it is asked for.
     *
     * @param program the program
     * @param arguments its arguments
     * @return true when {@code --help} is among them and the usage was printed
     */
    public static boolean shown(SingleCommand<?> program, String[] arguments) {
        if (!Arrays.asList(arguments).contains("--help")) {
            return false;
        }
        try {
            Help.help(program.getCommandMetadata());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return true;
    }
}
