package org.whinwharf.scheduler.internal;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import java.util.HashMap;
import java.util.Map;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.runtime.trace.TraceParent;
import org.whinwharf.wire.message.Frame;

/** Trace spans of requests while they wait here. Confined to the duty that makes decisions. */
final class SchedulerSpans {
    private static final int MAX_WAITING_SPANS = 65_536;

    private final Node node;
    private final Map<Key, Span> waitingSpans = new HashMap<>();
    private Tracer tracer;

    SchedulerSpans(Node node) {
        this.node = node;
    }

    void received(ProcessId home, Frame frame) {
        if (frame.hasEnqueue() && !frame.getTraceParent().isEmpty() && waitingSpans.size() < MAX_WAITING_SPANS) {
            Span span = tracer().spanBuilder("schedule")
                    .setParent(TraceParent.context(frame.getTraceParent()))
                    .setSpanKind(SpanKind.SERVER)
                    .setAttribute("tier_rank", frame.getEnqueue().getTierRank())
                    .startSpan();
            Span previous = waitingSpans.put(new Key(home, frame.getEnqueue().getRequest()), span);
            if (previous != null) {
                previous.end();
            }
        } else if (frame.hasWithdraw()) {
            end(new Key(home, frame.getWithdraw().getRequest()), "withdrawn");
        }
    }

    /** Ends the span of a granted or refused request, and returns the frame with the span as its trace parent. */
    Frame endOnSend(ProcessId home, Frame frame) {
        if (frame.hasGrant()) {
            Key key = new Key(home, frame.getGrant().getRequest());
            return with(frame, end(key, "granted " + frame.getGrant().getTarget()));
        }
        if (frame.hasRefusal()) {
            Key key = new Key(home, frame.getRefusal().getRequest());
            return with(frame, end(key, frame.getRefusal().getReason().name()));
        }
        return frame;
    }

    void lost(ProcessId home) {
        waitingSpans.entrySet().removeIf(entry -> {
            boolean lost = entry.getKey().home().equals(home);
            if (lost) {
                entry.getValue().end();
            }
            return lost;
        });
    }

    private Span end(Key key, String outcome) {
        Span span = waitingSpans.remove(key);
        if (span != null) {
            span.setAttribute("outcome", outcome);
            span.end();
        }
        return span;
    }

    private static Frame with(Frame frame, Span span) {
        return span == null
                ? frame
                : frame.toBuilder().setTraceParent(TraceParent.of(span)).build();
    }

    private Tracer tracer() {
        if (tracer == null) {
            tracer = node.tracer();
        }
        return tracer;
    }

    private record Key(ProcessId home, long request) {}
}
