package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SettingsFile;
import org.whinwharf.wire.schema.FrontFile;

class SettingsPrecheckTest {
    private static final String VALID = """
            // a comment, as in the template
            {"host": "h", "address": "10.0.0.1", "dataCentre": "z", "callerAddress": "10.0.0.1:1",
             "readyAddress": "10.0.0.1:2", "directoryAddress": "10.0.0.1:3", "peerPort": 4,
             "seedAddresses": ["10.0.0.2:4", "10.0.0.3:4"], "freshFleet": true, "retryRatio": 0.2, "retryAllowance": 54,
             "retryWindowSeconds": 10, "stopGraceSeconds": 8, "directorySeconds": 5, "storeAddress": "10.0.0.9:5",
             "metricsPort": 6, "cores": 2, "coreShare": 0.75, "disabledMechanisms": ["LEARNED_LIMITS"]}
            """;
    /** Values that replace the value of each field in turn, most of them invalid. */
    private static final List<String> REPLACEMENT_VALUES = List.of(
            "null", "\"\"", "\" \"", "\"x\"", "-1", "0", "0.5", "70000", "1e9", "true", "\"true\"", "[]", "[1]", "{}");

    @TempDir
    private Path folder;

    /** Guards against a start that takes the time to load the schema although the platform's file is valid. */
    @Test
    void validFilePassesWithoutTheSchema() {
        assertThat(SettingsPrecheck.passes(bytes(VALID)), is(true));
    }

    /** Guards against an invalid file that passes the check and takes effect although the schema rejects it. */
    @Test
    void everyFileThatPassesIsValidByTheSchema() throws IOException {
        for (String text : variants()) {
            if (SettingsPrecheck.passes(bytes(text))) {
                assertThat(text, validateBySchema(text), is(new ReadResult.Valid<>(FrontFileReader.read(bytes(text)))));
            }
        }
    }

    /** Guards against a duplicate name, whose later value would silently replace the earlier one. */
    @Test
    void fileWithADuplicateNameDoesNotPass() throws IOException {
        String duplicate = VALID.replace("\"cores\": 2", "\"cores\": 2, \"cores\": 3");
        assertThat(SettingsPrecheck.passes(bytes(duplicate)), is(false));
        assertThat(validateBySchema(duplicate), instanceOf(ReadResult.Invalid.class));
    }

    private static List<String> variants() {
        List<String> variants = new ArrayList<>(List.of(
                VALID,
                VALID + "{}",
                VALID.replace("{", "["),
                VALID.replace("\"host\": \"h\", ", ""),
                VALID.replace("\"cores\": 2, ", ""),
                VALID.replace("\"cores\"", "\"core\""),
                VALID.replace("10.0.0.1:1\"", "10.0.0.1:123456\""),
                VALID.replace("10.0.0.1:1\"", "10.0.0.1\""),
                VALID.replace("\"10.0.0.1\"", "\"10.0.0.256\"")));
        for (String field : VALID.split("[,{]\\s*\"")) {
            int colon = field.indexOf("\": ");
            if (colon > 0) {
                String name = field.substring(0, colon);
                REPLACEMENT_VALUES.forEach(value -> variants.add(
                        VALID.replaceFirst("\"" + name + "\": (\\[[^]]*]|[^,}]*)", "\"" + name + "\": " + value)));
            }
        }
        return variants;
    }

    private ReadResult<FrontFile> validateBySchema(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), text);
        return SettingsFile.load(file, FrontFile.getDefaultInstance());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
