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

/** State shared by the classes that handle the events of a home. */
final class HomeState {
    final HomeSettings settings;
    final SliceTracker sliceTracker = new SliceTracker();
    final RetryBudget retryBudget = new RetryBudget();
    final TicketTable tickets;
    final Map<Long, Request> liveById = new LinkedHashMap<>();
    final Map<Long, Long> requestOfCaller = new HashMap<>();
    final Map<Long, Ended> endedById;
    HomeView view;
    boolean leaving;
    long nowMillis;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private List<HomeAction> actions = new ArrayList<>();
    private long lastSequence;

    HomeState(HomeSettings settings, HomeView view) {
        this.settings = settings;
        this.view = view;
        tickets = new TicketTable(settings.maxTickets());
        endedById = new LinkedHashMap<>() {
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

    Outcome failure(ErrorKind kind, String detail) {
        return Outcome.failed(kind, detail, settings.defaultRetryAfterMillis(), "");
    }

    void scheduleTimer(Request request) {
        timers.add(new Timer(request.nextTimerMillis(), request.sequence));
    }

    /** Removes the expired timers and returns their live requests, each of them once. */
    List<Request> takeRequestsWithExpiredTimer() {
        Map<Long, Request> due = new LinkedHashMap<>();
        while (!timers.isEmpty() && timers.peek().atMillis() <= nowMillis) {
            Request request = liveById.get(timers.poll().sequence());
            if (request != null) {
                due.put(request.sequence, request);
            }
        }
        return List.copyOf(due.values());
    }

    List<Request> liveRequests() {
        return List.copyOf(liveById.values());
    }

    void recordEnded(long sequence, Submission submission, Outcome outcome) {
        endedById.put(sequence, new Ended(submission.organisation(), outcome));
    }

    /** Organisation and outcome of an ended request. */
    record Ended(String organisation, Outcome outcome) {}

    private record Timer(long atMillis, long sequence) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
