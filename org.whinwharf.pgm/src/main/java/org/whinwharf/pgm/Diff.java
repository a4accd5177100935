package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.DocumentFile;
import org.whinwharf.pgm.internal.Http;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.diff.ChangesReport;
import org.whinwharf.pgm.internal.diff.DocumentDiff;
import org.whinwharf.pgm.internal.fleet.FleetLoad;
import org.whinwharf.pgm.internal.fleet.FleetReader;
import org.whinwharf.pgm.internal.fleet.Reading;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.OperatorSettings;

/** Tells in words what a new document changes, and warns of what is risky. */
@Command(name = "diff", description = "Tell what changes for whom between two documents, and what of it is risky")
public final class Diff extends OperatorCommand {
    private static final int FILES = 2;

    @Arguments(
            title = {"OLD", "NEW"},
            description = "Documents; with --settings the fleet is asked whether it can carry the change")
    @Required
    private List<String> files = new ArrayList<>();

    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        if (files.size() != FILES) {
            throw new CommandFailure(OperatorExit.USAGE, PgmText.get("usage.diff"));
        }
        Document before = DocumentFile.require(files.get(0));
        Document after = DocumentFile.require(files.get(1));
        ChangesReport report = new ChangesReport(DocumentDiff.between(before, after, load()));
        print(terminal, report);
        return report.isRisky() ? OperatorExit.RISKY : OperatorExit.OK;
    }

    private Optional<FleetLoad> load() throws CommandFailure {
        Optional<OperatorSettings> settings = settings();
        if (settings.isEmpty()) {
            return Optional.empty();
        }
        try (Http http = new Http()) {
            FleetReader reader = new FleetReader(http, settings.get());
            HostList hosts = reader.hosts();
            return Optional.of(new FleetLoad(
                    hosts,
                    reader.statuses(hosts).stream()
                            .map(Reading::status)
                            .flatMap(Optional::stream)
                            .toList()));
        } catch (CommandFailure unreachable) {
            // The platform is down: the difference can still be told, with a warning that the load is not known.
            return Optional.empty();
        }
    }
}
