package org.whinwharf.runtime.trace;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Carries a span's identity in frames and HTTP headers, in the W3C form. */
public final class TraceParent {
    /** Name of the HTTP header. */
    public static final String HEADER = "traceparent";

    private static final W3CTraceContextPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();

    private TraceParent() {}

    /**
     * Writes a span's identity.
     *
     * @param span the span that is to be the parent at the other side
     * @return text for the header or for a frame; empty when the span is not valid
     */
    public static String of(Span span) {
        Map<String, String> carrier = new HashMap<>();
        PROPAGATOR.inject(Context.root().with(span), carrier, Map::put);
        return carrier.getOrDefault(HEADER, "");
    }

    /**
     * Reads a span's identity.
     *
     * @param text text of a header or frame; may be null, empty or malformed
     * @return context to be the parent of new spans; the root when the text says nothing
     */
    public static Context context(String text) {
        if (text == null || text.isEmpty()) {
            return Context.root();
        }
        return PROPAGATOR.extract(Context.root(), text, HeaderGetter.INSTANCE);
    }

    private enum HeaderGetter implements TextMapGetter<String> {
        INSTANCE;

        @Override
        public Iterable<String> keys(String carrier) {
            return Set.of(HEADER);
        }

        @Override
        public String get(String carrier, String key) {
            return HEADER.equals(key) ? carrier : null;
        }
    }
}
