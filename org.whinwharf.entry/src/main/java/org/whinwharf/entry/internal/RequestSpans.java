package org.whinwharf.entry.internal;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.HashMap;
import java.util.Map;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Outcome;
import org.whinwharf.runtime.trace.TraceParent;

/** Spans of the hops of each live request: at the home, in the queue of an owner, at the target. One thread uses it. */
final class RequestSpans {
    private final Tracer tracer;
    private final Map<Long, Hops> live = new HashMap<>();
    private Context nextParent = Context.root();

    RequestSpans(Tracer tracer) {
        this.tracer = tracer;
    }

    /** Sets the parent of the next request that begins. */
    void nextParent(String traceParent) {
        nextParent = TraceParent.context(traceParent);
    }

    void began(long sequence) {
        Span request = tracer.spanBuilder("request").setParent(nextParent).startSpan();
        live.put(sequence, new Hops(request));
        nextParent = Context.root();
    }

    String queueParent(long sequence) {
        Hops hops = live.get(sequence);
        if (hops == null) {
            return "";
        }
        hops.next(child(hops, "queue"));
        return TraceParent.of(hops.hop);
    }

    String targetParent(long sequence, String target) {
        Hops hops = live.get(sequence);
        if (hops == null) {
            return "";
        }
        hops.next(child(hops, "target"));
        hops.hop.setAttribute("target", target);
        return TraceParent.of(hops.hop);
    }

    void ended(long sequence, Outcome outcome) {
        Hops hops = live.remove(sequence);
        if (hops == null) {
            return;
        }
        hops.next(null);
        outcome.error().map(ErrorKind::wireName).ifPresent(kind -> hops.request.setStatus(StatusCode.ERROR, kind));
        hops.request.end();
    }

    private Span child(Hops hops, String name) {
        return tracer.spanBuilder(name)
                .setParent(Context.root().with(hops.request))
                .startSpan();
    }

    private static final class Hops {
        private final Span request;
        private Span hop;

        Hops(Span request) {
            this.request = request;
        }

        void next(Span next) {
            if (hop != null) {
                hop.end();
            }
            hop = next;
        }
    }
}
