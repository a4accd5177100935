package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.RequireOnlyOne;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.document.DocumentWriter;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.DocumentFile;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.diff.Change;
import org.whinwharf.pgm.internal.diff.ChangesReport;
import org.whinwharf.pgm.internal.diff.DocumentDiff;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;

/** Writes the document of one environment as the next generation of another. Publishing it is the platform's part. */
@Command(name = "promote", description = "Write a tried document as the next generation of another environment")
public final class Promote extends OperatorCommand {
    private static final String COMPACT = "compact";
    private static final String TEXT = "json";
    private static final String GENERATION = "generation";

    @Arguments(title = "TRIAL", description = "Document as it was tried")
    @Required
    private String trial;

    @Option(name = "--to", title = "ENVIRONMENT", description = "Environment that the document is for")
    @Required
    private String environment;

    @Option(name = "--generation", title = "N", description = "Generation to write")
    @RequireOnlyOne(tag = GENERATION)
    private Long generation;

    @Option(
            name = "--current",
            title = "FILE",
            description = "Document now published there; the next generation is written, and what changes is told")
    @RequireOnlyOne(tag = GENERATION)
    private String current;

    @Option(name = "--out", title = "FILE", description = "File to write; it must not exist yet")
    @Required
    private String out;

    @Option(name = "--form", title = "FORM", description = "compact (default) or json")
    @AllowedRawValues(allowedValues = {COMPACT, TEXT})
    private String form = COMPACT;

    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        Document tried = DocumentFile.require(trial);
        Optional<Document> before = current == null ? Optional.empty() : Optional.of(readCurrent());
        long next = before.map(document -> document.getGeneration() + 1).orElseGet(() -> generation);
        Document promoted = tried.toBuilder()
                .setEnvironment(environment)
                .setGeneration(next)
                .build();
        byte[] published = form.equals(COMPACT) ? DocumentWriter.compact(promoted) : DocumentWriter.json(promoted);
        check(published);
        write(published);
        List<Change> changes = before.map(document -> DocumentDiff.between(document, promoted, Optional.empty()))
                .orElse(List.of());
        String digest = Hashing.sha256().hashBytes(published).toString();
        print(terminal, new PromoteReport(out, environment, next, published.length, digest, changes));
        return new ChangesReport(changes).isRisky() ? OperatorExit.RISKY : OperatorExit.OK;
    }

    private Document readCurrent() throws CommandFailure {
        Document document = DocumentFile.require(current);
        if (!document.getEnvironment().equals(environment)) {
            throw new CommandFailure(
                    OperatorExit.USAGE, PgmText.get("promote.other", current, document.getEnvironment(), environment));
        }
        return document;
    }

    /** Reads back what is to be written, so that no file is left behind that a process would refuse. */
    private void check(byte[] published) throws CommandFailure {
        if (DocumentReader.read(published, out) instanceof ReadResult.Invalid<Document> invalid) {
            throw new CommandFailure(
                    OperatorExit.FAULTS,
                    invalid.faults().stream().map(Fault::text).toList());
        }
    }

    private void write(byte[] published) throws CommandFailure {
        try {
            Files.write(Path.of(out), published, StandardOpenOption.CREATE_NEW);
        } catch (FileAlreadyExistsException e) {
            throw new CommandFailure(OperatorExit.FAILED, PgmText.get("promote.exists", out));
        } catch (IOException e) {
            throw new CommandFailure(OperatorExit.FAILED, PgmText.get("promote.unwritten", out, e.getMessage()));
        }
    }

    private record PromoteReport(
            String file, String environment, long generation, int sizeBytes, String digest, List<Change> changes)
            implements Report {
        @Override
        public List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add(PgmText.get("promote.written", file, environment, Long.toString(generation)));
            lines.add(PgmText.get("promote.digest", digest, Integer.toString(sizeBytes)));
            if (!changes.isEmpty()) {
                lines.addAll(new ChangesReport(changes).lines());
            }
            return lines;
        }
    }
}
