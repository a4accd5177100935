package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SettingsFile;
import org.whinwharf.wire.schema.FrontFile;

class FrontFileReaderTest {
    private static final String SETTINGS = """
            // a comment, as in the template
            {"host": "h", "address": "10.0.0.1", "dataCentre": "z", "callerAddress": "10.0.0.1:1",
             "readyAddress": "10.0.0.1:2", "directoryAddress": "10.0.0.1:3", "peerPort": 4,
             "seedAddresses": ["10.0.0.2:4", "10.0.0.3:4"], "freshFleet": true, "retryRatio": 0.2, "retryAllowance": 54,
             "retryWindowSeconds": 10, "stopGraceSeconds": 8, "directorySeconds": 5, "storeAddress": "10.0.0.9:5",
             "storeHistorySeconds": 20, "targetHeartbeatMillis": 1200, "metricsPort": 6, "relayPort": 7, "cores": 2,
             "coreShare": 0.75, "disabledMechanisms": ["JOINED_RANKS"]}
            """;

    @TempDir
    private Path folder;

    /**
     * The start reads the settings without the schema. Guards against a field that the schema has and the reader lacks:
     * it would keep its default after each restart until the file changes.
     */
    @Test
    void startReadsEveryFieldThatTheSchemaHas() throws IOException {
        FrontFile read = FrontFileReader.read(SETTINGS.getBytes(StandardCharsets.UTF_8));
        FrontFile.getDescriptor()
                .getFields()
                .forEach(
                        field -> assertThat(field.getName(), read.getAllFields().containsKey(field), is(true)));
        Path file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
        ReadResult<FrontFile> checked = SettingsFile.load(file, FrontFile.getDefaultInstance());
        assertThat(checked, is(new ReadResult.Valid<>(read)));
    }
}
