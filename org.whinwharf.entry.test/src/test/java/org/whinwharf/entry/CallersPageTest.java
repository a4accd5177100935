package org.whinwharf.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.errors.ErrorKind;

class CallersPageTest {
    private static final Path PAGE = Path.of("..", "docs", "CALLERS.md");
    private static final String HEADER = "| error | status | ran | come back | meaning |";

    @Test
    void tableOfErrorsIsThatOfTheCode() throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        List<String> rows = lines.subList(lines.indexOf(HEADER) + 2, lines.size()).stream()
                .filter(line -> line.startsWith("| `"))
                .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2)))
                .toList();
        assertThat(
                rows,
                is(Arrays.stream(ErrorKind.values()).map(CallersPageTest::row).toList()));
    }

    private static String row(ErrorKind kind) {
        return "| `" + kind.wireName() + "` | " + kind.httpStatus() + " | `"
                + kind.ran().wireName() + "` | " + (kind.hasRetryAfter() ? "yes" : "no") + " ";
    }
}
