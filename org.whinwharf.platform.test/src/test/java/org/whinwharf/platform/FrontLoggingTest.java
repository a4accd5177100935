package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.LogManager;
import org.junit.jupiter.api.Test;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;

class FrontLoggingTest {
    /**
     * Guards against a front that serves but logs nothing, because the log is set up in code and a fault there stays
     * unnoticed until the cause of a failed request is needed.
     */
    @Test
    void eventsReachStandardOutputAsLinesOfJson() {
        PrintStream before = System.out;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            LogManager.shutdown();
            FrontLogging.install();
            assertThat(
                    LogManager.getContext(false).getLogger(EventLog.LOGGER_NAME).isInfoEnabled(), is(true));
            LogManager.getContext(false).getLogger(EventLog.LOGGER_NAME).info("a line of a library");
            EventLog.event(LogEvent.COORDINATOR_CHANGED)
                    .with(EventField.SERVICE, "s")
                    .with(EventField.FROM, "")
                    .with(EventField.TO, "front-1")
                    .call();
            LogManager.shutdown();
        } finally {
            System.setOut(before);
        }
        String text = written.toString(StandardCharsets.UTF_8);
        assertThat(text, containsString("\"text\":\"a line of a library\""));
        assertThat(text, not(containsString("Exception")));
        assertThat(LogManager.getContext(false).getLogger("io.netty.channel").isWarnEnabled(), is(false));
    }
}
