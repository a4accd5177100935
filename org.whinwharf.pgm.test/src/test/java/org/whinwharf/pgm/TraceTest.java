package org.whinwharf.pgm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class TraceTest {
    private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String LOG = """
            not a line of ours
            {"event": "request-admitted", "request": "entry-1.9f3c.2a", "traceId": "%1$s"}
            {"event": "span", "traceId": "%1$s", "spanId": "b", "parentSpanId": "a", "name": "wait for grant",\
             "startUnixNanos": 1000001000000, "durationMicros": 20000, "attributes": {"slice": "lampa-llm/zilina-a/0"}}
            {"event": "span", "traceId": "%1$s", "spanId": "c", "parentSpanId": "a", "name": "stream",\
             "startUnixNanos": 1000022000000, "durationMicros": 78000, "attributes": {"target": "lampa-1"}}
            {"event": "span", "traceId": "%1$s", "spanId": "d", "parentSpanId": "b", "name": "schedule",\
             "startUnixNanos": 1000002000000, "durationMicros": 18000, "attributes": {}}
            {"event": "span", "traceId": "ffff", "spanId": "e", "parentSpanId": "", "name": "another request",\
             "startUnixNanos": 1000002000000, "durationMicros": 18000, "attributes": {}}
            {"event": "span", "traceId": "%1$s", "spanId": "a", "parentSpanId": "", "name": "request",\
             "startUnixNanos": 1000000000000, "durationMicros": 100000, "attributes": {"request": "entry-1.9f3c.2a"}}
            {"event": "span", "traceId": "%1$s", "spanId": "cut
            """.formatted(TRACE);

    @Test
    void thePathOfOneRequestIsDrawnFromTheLog() {
        Approvals.verify(
                Run.withInput(LOG, "trace", "entry-1.9f3c.2a", "--logs", "-").golden(Path.of("none")));
    }

    @Test
    void aTraceIsFoundByItsOwnIdToo() {
        Run byRequest = Run.withInput(LOG, "trace", "entry-1.9f3c.2a", "--logs", "-");

        assertThat(Run.withInput(LOG, "trace", TRACE, "--logs", "-").out(), equalTo(byRequest.out()));
    }

    @Test
    void theLatestTracesAreDrawnWithoutAnId() {
        Run last = Run.withInput(LOG, "trace", "--last", "1", "--logs", "-");
        Run both = Run.withInput(LOG, "trace", "--last", "5", "--logs", "-");

        assertThat(last.out(), startsWith("trace ffff: 1 hops"));
        assertThat(both.out(), startsWith("trace " + TRACE));
        assertThat(both.out(), containsString("\n\ntrace ffff: 1 hops"));
        assertThat(Run.withInput(LOG, "trace", "--logs", "-").exit(), is(OperatorExit.USAGE));
    }

    @Test
    void aRequestWithoutSpansIsNotFound() {
        assertThat(Run.withInput(LOG, "trace", "entry-1.9f3c.2b", "--logs", "-").exit(), is(OperatorExit.NOT_FOUND));
    }
}
