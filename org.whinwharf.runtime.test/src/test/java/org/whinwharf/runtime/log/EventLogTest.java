package org.whinwharf.runtime.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.blankOrNullString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EventLogTest {
    private static final LoggerContext CONTEXT = (LoggerContext) LogManager.getContext(false);

    @Test
    void lineIsOneJsonObjectWithTypedFields() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        OutputStreamAppender appender = capture(out);
        EventLog.event(LogEvent.SPAN)
                .with(EventField.NAME, "dispatch \"x\"\n")
                .with(EventField.DURATION_MICROS, 1_500L)
                .with(EventField.ATTRIBUTES, Map.of("target", "martin-a-1"))
                .call();
        release(appender);

        String line = out.toString(StandardCharsets.UTF_8);
        assertThat(line.strip().lines().count(), is(1L));
        JsonNode json = new ObjectMapper().readTree(line);
        assertThat(json.get("event").asText(), is("span"));
        assertThat(json.get("name").asText(), is("dispatch \"x\"\n"));
        assertThat(json.get("durationMicros").isIntegralNumber(), is(true));
        assertThat(json.get("attributes").get("target").asText(), is("martin-a-1"));
        assertThat(json.get("level").asText(), is("INFO"));
    }

    @ParameterizedTest
    @EnumSource(LogEvent.class)
    void everyEventHasAText(LogEvent event) {
        assertThat(event.text(), not(blankOrNullString()));
    }

    private static OutputStreamAppender capture(ByteArrayOutputStream out) {
        JsonTemplateLayout layout = JsonTemplateLayout.newBuilder()
                .setConfiguration(CONTEXT.getConfiguration())
                .setEventTemplateUri("classpath:org/whinwharf/runtime/log/line.json")
                .build();
        OutputStreamAppender appender = OutputStreamAppender.newBuilder()
                .setName("capture")
                .setLayout(layout)
                .setTarget(out)
                .build();
        appender.start();
        CONTEXT.getRootLogger().addAppender(appender);
        return appender;
    }

    private static void release(OutputStreamAppender appender) {
        CONTEXT.getRootLogger().removeAppender(appender);
        appender.stop();
    }
}
