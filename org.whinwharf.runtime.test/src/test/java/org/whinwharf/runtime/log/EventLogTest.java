package org.whinwharf.runtime.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.blankOrNullString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EventLogTest {
    @Test
    void lineIsOneJsonObjectWithTypedFields() throws IOException {
        String line;
        try (CapturedLog log = new CapturedLog()) {
            EventLog.event(LogEvent.SPAN)
                    .with(EventField.NAME, "dispatch \"x\"\n")
                    .with(EventField.DURATION_MICROS, 1_500L)
                    .with(EventField.ATTRIBUTES, Map.of("target", "martin-a-1"))
                    .call();
            line = log.text();
        }
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
}
