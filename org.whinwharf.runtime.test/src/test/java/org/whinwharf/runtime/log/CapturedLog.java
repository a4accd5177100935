package org.whinwharf.runtime.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;

/** Lines that this process logs until the capture is closed, in the layout of the programs. */
public final class CapturedLog implements AutoCloseable {
    private static final LoggerContext CONTEXT = (LoggerContext) LogManager.getContext(false);

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final OutputStreamAppender appender;

    /** Begins a capture. */
    public CapturedLog() {
        JsonTemplateLayout layout = JsonTemplateLayout.newBuilder()
                .setConfiguration(CONTEXT.getConfiguration())
                .setEventTemplateUri("classpath:org/whinwharf/runtime/log/line.json")
                .build();
        appender = OutputStreamAppender.newBuilder()
                .setName("capture")
                .setLayout(layout)
                .setTarget(out)
                .build();
        appender.start();
        CONTEXT.getRootLogger().addAppender(appender);
    }

    /** Returns the text of all lines. */
    public String text() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Returns the lines of an event. */
    public List<JsonNode> lines(String event) throws IOException {
        List<JsonNode> found = new ArrayList<>();
        for (String line : text().strip().split("\n")) {
            JsonNode json = new ObjectMapper().readTree(line);
            if (json.path("event").asText().equals(event)) {
                found.add(json);
            }
        }
        return found;
    }

    @Override
    public void close() {
        CONTEXT.getRootLogger().removeAppender(appender);
        appender.stop();
    }
}
