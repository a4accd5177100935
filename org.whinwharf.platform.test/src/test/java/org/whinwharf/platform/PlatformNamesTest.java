package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the adapter's sources contain the platform's names. */
class PlatformNamesTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern NAMES = Pattern.compile(
            "X-Attempt-Id|X-Deadline-Ms|X-Api-Key|X-Token-Usage|X-Prompt-Prefix|X-Tenant|X-Expect-Instance"
                    + "|X-Server-Seal|X-Not-Executed|X-Instance-Id|X-Cold-Ms|kv-watch|kv-range|kv-key"
                    + "|/whinwharf/(resolve|ready)|op/config|op/evacuate|servers/|cold-left-ms|slo-ms|traffic-split"
                    + "|WHINWHARF_NODE_FILE");

    @Test
    void noOtherModuleContainsPlatformNames() throws IOException {
        try (Stream<Path> modules = Files.list(ROOT)) {
            List<String> found = modules.filter(
                            module -> module.getFileName().toString().startsWith("org.whinwharf")
                                    && !module.getFileName().toString().endsWith(".test"))
                    .flatMap(PlatformNamesTest::filesWithPlatformNames)
                    .toList();
            assertThat(found, empty());
        }
    }

    private static Stream<String> filesWithPlatformNames(Path module) {
        Path sources = module.resolve("src/main/java");
        if (!Files.isDirectory(sources)) {
            return Stream.empty();
        }
        try (Stream<Path> files = Files.walk(sources)) {
            return files
                    .filter(file -> file.toString().endsWith(".java") && containsPlatformName(file))
                    .map(Path::toString)
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean containsPlatformName(Path file) {
        try {
            return NAMES.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
