package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.Http;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.fleet.FleetReader;
import org.whinwharf.pgm.internal.fleet.FleetStatus;
import org.whinwharf.pgm.internal.fleet.StatusReport;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.OperatorSettings;

/** Tells how the fleet stands. */
@Command(
        name = "status",
        description = "Tell how the fleet stands: data centres, targets, queues by tier, generation at each host")
public final class Status extends OperatorCommand {
    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        OperatorSettings settings = requireSettings();
        try (Http http = new Http()) {
            FleetReader reader = new FleetReader(http, settings);
            HostList hosts = reader.hosts();
            StatusReport report =
                    new FleetStatus(settings.getEnvironment(), hosts, reader.document(), reader.statuses(hosts)).call();
            print(terminal, report);
            boolean complete = report.unreachable().isEmpty() && report.publishedGeneration() > 0;
            return complete ? OperatorExit.OK : OperatorExit.UNREACHABLE;
        }
    }
}
