package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.DocumentFile;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;

/** Checks documents and prints every fault with its line. */
@Command(name = "check", description = "Check documents as every process does, and print every fault")
public final class Check extends OperatorCommand {
    @Arguments(title = "FILE", description = "Documents, JSON with comments or the compact form")
    @Required
    private List<String> files = new ArrayList<>();

    @Override
    protected OperatorExit run(Terminal terminal) {
        List<FileReport> reports = files.stream().map(Check::check).toList();
        print(terminal, new CheckReport(reports));
        boolean faulty = reports.stream().anyMatch(report -> !report.faults().isEmpty());
        return faulty ? OperatorExit.FAULTS : OperatorExit.OK;
    }

    private static FileReport check(String file) {
        ReadResult<Document> read = DocumentFile.read(file);
        if (read instanceof ReadResult.Invalid<Document> invalid) {
            return new FileReport(file, "", 0, 0, invalid.faults());
        }
        Document document = ((ReadResult.Valid<Document>) read).value();
        return new FileReport(
                file, document.getEnvironment(), document.getGeneration(), document.getOrganisationsCount(), List.of());
    }

    /** What was found in all files. */
    private record CheckReport(List<FileReport> files) implements Report {
        @Override
        public List<String> lines() {
            return files.stream().flatMap(file -> file.lines().stream()).toList();
        }
    }

    /** What was found in one file. */
    private record FileReport(String file, String environment, long generation, int organisations, List<Fault> faults)
            implements Report {
        @Override
        public List<String> lines() {
            if (faults.isEmpty()) {
                return List.of(PgmText.get("check.valid", file, environment, Long.toString(generation), organisations));
            }
            List<String> lines =
                    new ArrayList<>(faults.stream().map(Fault::text).toList());
            lines.add(PgmText.get("check.faulty", file, faults.size()));
            return lines;
        }
    }
}
