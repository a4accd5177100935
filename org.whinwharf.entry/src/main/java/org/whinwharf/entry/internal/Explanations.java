package org.whinwharf.entry.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.runtime.admin.AdminRoute;
import org.whinwharf.wire.status.ExplainEvent;
import org.whinwharf.wire.status.Explanation;

/** What happened to the latest requests, for operators who ask why. Safe for use by several threads. */
final class Explanations implements AdminRoute {
    private static final int MAX_REQUESTS = 4_096;
    private static final int MAX_EVENTS = 64;
    private static final String DETAIL = "detail";

    private final Map<String, Explanation.Builder> latest = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Explanation.Builder> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    synchronized void add(String requestId, String event, String detail, long atUnixMillis) {
        Explanation.Builder explanation =
                latest.computeIfAbsent(requestId, id -> Explanation.newBuilder().setRequestId(id));
        if (explanation.getEventsCount() == MAX_EVENTS) {
            explanation.removeEvents(MAX_EVENTS / 2);
        }
        explanation.addEvents(ExplainEvent.newBuilder()
                .setAtUnixMillis(atUnixMillis)
                .setEvent(event)
                .putFields(DETAIL, detail));
    }

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public synchronized Optional<String> answer(String requestId) {
        return Optional.ofNullable(latest.get(requestId)).map(CallerJson::print);
    }
}
