package org.whinwharf.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import org.whinwharf.bench.internal.ReportCommand;

/** Prints a row of a table from the summary of a load and the records of its targets. */
public final class Report {
    private static final int USAGE_EXIT = 10;
    private static final int INPUT_EXIT = 11;

    private Report() {}

    /**
     * Runs the command.
     *
     * @param arguments see {@link ReportCommand}
     */
    public static void main(String[] arguments) {
        try {
            SingleCommand.singleCommand(ReportCommand.class).parse(arguments).call();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT);
        } catch (IOException e) {
            System.err.println(e.getMessage());
            System.exit(INPUT_EXIT);
        }
    }
}
