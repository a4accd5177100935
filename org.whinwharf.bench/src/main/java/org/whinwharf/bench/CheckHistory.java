package org.whinwharf.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import org.whinwharf.bench.history.CheckCommand;
import org.whinwharf.bench.internal.ProgramHelp;

/** Program {@code whinwharf-check-history}: checks histories against the rules that every run must satisfy. */
public final class CheckHistory {
    private static final int USAGE_EXIT = 64;
    private static final int INPUT_EXIT = 66;

    private CheckHistory() {}

    /**
     * Checks and exits with 0 for a clean history, 1 when rules are broken, 2 when a target's record is missing.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        SingleCommand<CheckCommand> program = SingleCommand.singleCommand(CheckCommand.class);
        if (ProgramHelp.shown(program, arguments)) {
            return;
        }
        try {
            System.exit(program.parse(arguments).call());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT);
        } catch (IOException e) {
            System.err.println(e.getMessage());
            System.exit(INPUT_EXIT);
        }
    }
}
