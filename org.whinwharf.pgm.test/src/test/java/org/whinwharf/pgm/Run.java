package org.whinwharf.pgm;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.whinwharf.pgm.internal.Terminal;

/** One run of the program, with what it printed. */
record Run(OperatorExit exit, String out, String err) {
    static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    static final Path SAMPLES = ROOT.resolve("samples");

    static Run of(String... arguments) {
        return withInput("", arguments);
    }

    static Run withInput(String input, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        OperatorExit exit = Main.run(
                new Terminal(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)),
                arguments);
        return new Run(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Returns exit code and output for a golden file, with a folder's path left out. */
    String golden(Path folder) {
        String text = "exit " + exit.code() + " " + exit + "\n--- out\n" + out + "--- err\n" + err;
        return text.replace(folder.toString(), "DIR");
    }
}
