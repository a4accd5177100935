package org.whinwharf.pgm.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.pgm.OperatorExit;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;

/** Reads documents from files. */
public final class DocumentFile {
    private DocumentFile() {}

    /**
     * Reads and checks a document of either form.
     *
     * @param file name of the file
     * @return the document, or all its faults
     */
    public static ReadResult<Document> read(String file) {
        try {
            return DocumentReader.readSource(Files.readAllBytes(Path.of(file)), file);
        } catch (IOException e) {
            String found = e.getClass().getSimpleName();
            return new ReadResult.Invalid<>(List.of(new Fault(file, 0, 0, "", Problem.UNREADABLE, found, "")));
        }
    }

    /**
     * Reads a document that must be valid.
     *
     * @param file name of the file
     * @return the document
     * @throws CommandFailure with all faults when it is not valid
     */
    public static Document require(String file) throws CommandFailure {
        ReadResult<Document> read = read(file);
        if (read instanceof ReadResult.Invalid<Document> invalid) {
            throw new CommandFailure(
                    OperatorExit.FAULTS,
                    invalid.faults().stream().map(Fault::text).toList());
        }
        return ((ReadResult.Valid<Document>) read).value();
    }
}
