package org.whinwharf.runtime.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class TraceParentTest {
    private final Tracer tracer = SdkTracerProvider.builder().build().get("test");

    @Test
    void spanOfAnotherProcessBecomesTheParent() {
        Span caller = tracer.spanBuilder("enqueue").startSpan();
        Context context = TraceParent.context(TraceParent.of(caller));
        Span served = tracer.spanBuilder("grant").setParent(context).startSpan();
        assertThat(
                served.getSpanContext().getTraceId(), is(caller.getSpanContext().getTraceId()));
        assertThat(
                Span.fromContext(context).getSpanContext().getSpanId(),
                is(caller.getSpanContext().getSpanId()));
    }

    @Test
    void spanThatIsNotValidIsLeftOut() {
        assertThat(TraceParent.of(Span.getInvalid()), is(""));
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "rubbish", "00-0-0-01", "ff-00000000000000000000000000000000-0000000000000000-01"})
    void textThatSaysNothingIsNoParent(String text) {
        assertThat(Span.fromContext(TraceParent.context(text)).getSpanContext().isValid(), is(false));
    }
}
