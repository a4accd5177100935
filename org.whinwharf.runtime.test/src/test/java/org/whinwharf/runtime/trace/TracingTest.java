package org.whinwharf.runtime.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.wire.schema.TraceSettings;

class TracingTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "none", "log", "http://127.0.0.1:9", "http://127.0.0.1:9/v1/traces"})
    void everyExporterOfTheSettingsTakesSpansAndStops(String exporter) {
        Tracing tracing = new Tracing(
                TraceSettings.newBuilder().setExporter(exporter).setRatio(1).build(), "scheduler@host-a");
        tracing.start();
        tracing.tracer().spanBuilder("grant").startSpan().end();
        tracing.stop();
    }

    @Test
    void ratioOfZeroTracesOnlyWhatACallerTraces() {
        Tracing tracing = new Tracing(
                TraceSettings.newBuilder().setExporter("none").setRatio(0).build(), "scheduler@host-a");
        var fresh = tracing.tracer().spanBuilder("grant").startSpan();
        assertThat(fresh.getSpanContext().isSampled(), is(false));
        var traced = tracing.tracer()
                .spanBuilder("grant")
                .setParent(TraceParent.context("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
                .startSpan();
        assertThat(traced.getSpanContext().isSampled(), is(true));
        tracing.stop();
    }
}
