package org.whinwharf.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.routing.SliceTracker;
import org.whinwharf.ticket.RequestId;

/** State that the parts of a home share while they handle an event. */
final class HomeState {
    final HomeSettings settings;
    final SliceTracker board = new SliceTracker();
    final RetryBudget budget = new RetryBudget();
    final TicketTable tickets;
    final Map<Long, Request> live = new LinkedHashMap<>();
    final Map<Long, Long> requestOfCaller = new HashMap<>();
    final Map<Long, Ended> ended;
    HomeView view;
    boolean leaving;
    long nowMillis;

    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private List<HomeAction> actions = new ArrayList<>();
    private long lastSequence;

    HomeState(HomeSettings settings, HomeView view) {
        this.settings = settings;
        this.view = view;
        tickets = new TicketTable(settings.maxTickets());
        ended = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Ended> eldest) {
                return size() > settings.maxEndedRequests();
            }
        };
    }

    long nextSequence() {
        return ++lastSequence;
    }

    void emit(HomeAction action) {
        actions.add(action);
    }

    void note(Request request, HomeNote note, String detail) {
        emit(new HomeAction.Note(request.sequence, note, detail));
    }

    List<HomeAction> takeActions() {
        List<HomeAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    String requestId(long sequence) {
        return new RequestId(settings.host(), settings.incarnation(), sequence).toString();
    }

    Outcome failed(ErrorKind kind, String detail) {
        return Outcome.failed(kind, detail, settings.defaultRetryAfterMillis(), "");
    }

    void schedule(Request request) {
        dues.add(new Due(request.nextDueMillis(), request.sequence));
    }

    /** Returns the live requests for which something is due, each of them once, and forgets those dues. */
    List<Request> takeDue() {
        Map<Long, Request> due = new LinkedHashMap<>();
        while (!dues.isEmpty() && dues.peek().atMillis() <= nowMillis) {
            Request request = live.get(dues.poll().sequence());
            if (request != null) {
                due.put(request.sequence, request);
            }
        }
        return List.copyOf(due.values());
    }

    List<Request> liveRequests() {
        return List.copyOf(live.values());
    }

    void recordEnded(long sequence, Submission submission, Outcome outcome) {
        ended.put(sequence, new Ended(submission.organisation(), outcome));
    }

    /** What stays known of an ended request. */
    record Ended(String organisation, Outcome outcome) {}

    private record Due(long atMillis, long sequence) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
