package org.whinwharf.steward;

import org.whinwharf.runtime.command.DaemonCommand;

/** Entry point of {@code whinwharf-steward}. */
public final class Main {
    private Main() {}

    /**
     * Runs the steward until the process is asked to stop.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        DaemonCommand.main(StewardCommand.class, arguments);
    }
}
