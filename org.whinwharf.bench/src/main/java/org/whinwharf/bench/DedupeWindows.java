package org.whinwharf.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.whinwharf.bench.dedupe.DedupeCommand;
import org.whinwharf.bench.internal.ProgramHelp;

/** Program that compares contiguous intervals with stragglers against age-partitioned filters as dedupe windows. */
public final class DedupeWindows {
    private static final int USAGE_EXIT = 64;

    private DedupeWindows() {}

    /**
     * Prints the comparison as a table.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        SingleCommand<DedupeCommand> program = SingleCommand.singleCommand(DedupeCommand.class);
        if (ProgramHelp.shown(program, arguments)) {
            return;
        }
        try {
            program.parse(arguments).run();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT);
        }
    }
}
