package org.whinwharf.scheduler;

import com.github.rvesse.airline.annotations.Command;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.command.DaemonCommand;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.SchedulerSettings;

/** Command line of the scheduler. */
@Command(
        name = "whinwharf-scheduler",
        description = "Owns slices of targets and grants their slots to waiting requests")
public final class Main extends DaemonCommand<SchedulerSettings> {
    /** Creates the command; called by the command line parser. */
    public Main() {}

    /**
     * Runs the scheduler until it is stopped.
     *
     * @param arguments command line
     */
    public static void main(String... arguments) {
        main(Main.class, arguments);
    }

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
        return new SchedulerDaemon(checked);
    }
}
