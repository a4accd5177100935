package org.whinwharf.steward;

import org.whinwharf.runtime.command.DaemonCommand;

/** Entry point of {@code whinwharf-steward}. */
public final class Main {
    private Main() {}

    /**
     * Runs the steward until it is told to stop.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        DaemonCommand.main(StewardCommand.class, arguments);
    }
}
