package org.whinwharf.home;

import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.routing.RoutingPolicy;

/**
 * State machine of the requests of one home.
 *
 * <p>The home of a request is the entry process that accepted it, the only process that may dispatch it. A sealed
 * {@link org.whinwharf.ticket.Ticket} names the home, and other entry processes relay requests under that ticket to it.
 *
 * <p>A request is sent at most once. A caller is told "not run" only before a {@link SendGate} was created for the
 * request or after it was closed, because the request cannot be sent any more then, or when the target rejected the
 * request without admitting it. Each caller receives exactly one final action. Not thread-safe.
 */
public final class Home {
    private final HomeState state;
    private final Queueing queueing;
    private final Delivery delivery;
    private final CallerEvents callerEvents;
    private final RequestCompletion completion;
    private final HomeEventHandler handler = new Dispatcher();

    /**
     * Creates a home without requests.
     *
     * @param settings limits and timeouts
     * @param view view of the active document and the host list
     * @param policy policy that selects a slice
     * @param random source of random numbers
     */
    public Home(HomeSettings settings, HomeView view, RoutingPolicy policy, UniformRandomProvider random) {
        state = new HomeState(settings, view);
        OwnerLinks owners = new OwnerLinks(state);
        completion = new RequestCompletion(state, owners);
        queueing = new Queueing(state, owners, completion, policy, random);
        delivery = new Delivery(state, completion, queueing, random);
        callerEvents = new CallerEvents(state, completion, queueing, delivery);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis current time of this host's monotonic clock, in milliseconds
     * @return actions to execute, in this order
     */
    public List<HomeAction> handle(HomeEvent event, long nowMillis) {
        state.nowMillis = nowMillis;
        event.accept(handler);
        return state.takeActions();
    }

    /**
     * Counts the accepted requests that were not sent yet.
     *
     * @return count
     */
    public int waitingCount() {
        return (int) state.liveById.values().stream()
                .filter(request -> request.phase.isBeforeSending())
                .count();
    }

    /**
     * Counts the accepted requests that have not ended.
     *
     * @return count
     */
    public int liveCount() {
        return state.liveById.size();
    }

    /**
     * Returns the text form of a request's identifier.
     *
     * @param sequence number of the request, unique in this incarnation
     * @return identifier
     */
    public String requestId(long sequence) {
        return state.requestId(sequence);
    }

    private void withLive(long sequence, Consumer<Request> work) {
        // An event for a request that has ended is stale and is ignored.
        Request request = state.liveById.get(sequence);
        if (request != null) {
            work.accept(request);
        }
    }

    private void handleTimer(Request request) {
        if (state.nowMillis >= request.deadlineAtMillis) {
            completion.cancel(request, ErrorKind.DEADLINE_WAITING, ErrorKind.DEADLINE_RUNNING);
        } else if (state.nowMillis >= request.rejoinGraceEndsAtMillis) {
            callerEvents.rejoinGraceExpired(request);
        } else if (state.nowMillis >= request.retryAtMillis) {
            queueing.retry(request);
        } else if (state.nowMillis >= request.reconsiderAtMillis) {
            queueing.moveToBetterSlice(request);
        }
        if (request.phase != RequestPhase.ENDED) {
            state.scheduleTimer(request);
        }
    }

    private final class Dispatcher implements HomeEventHandler {
        @Override
        public void on(HomeEvent.Submitted event) {
            callerEvents.submitted(event.caller(), event.submission());
        }

        @Override
        public void on(HomeEvent.Rejoined event) {
            callerEvents.rejoined(event.caller(), event.sequence(), event.organisation(), event.fromIndex());
        }

        @Override
        public void on(HomeEvent.LookedUp event) {
            callerEvents.lookedUp(event.caller(), event.sequence(), event.organisation());
        }

        @Override
        public void on(HomeEvent.NumberLookedUp event) {
            callerEvents.numberLookedUp(event.caller(), event.ticketNumber(), event.organisation());
        }

        @Override
        public void on(HomeEvent.CancelRequested event) {
            callerEvents.cancelRequested(event.caller(), event.sequence(), event.organisation());
        }

        @Override
        public void on(HomeEvent.CallerDisconnected event) {
            callerEvents.callerDisconnected(event.caller());
        }

        @Override
        public void on(HomeEvent.CallerSlow event) {
            callerEvents.callerSlow(event.caller());
        }

        @Override
        public void on(HomeEvent.Granted event) {
            queueing.granted(event.owner(), event.grant());
        }

        @Override
        public void on(HomeEvent.Refused event) {
            queueing.refused(event.owner(), event.refusal());
        }

        @Override
        public void on(HomeEvent.Recalled event) {
            queueing.recalled(event.recall());
        }

        @Override
        public void on(HomeEvent.StatusReceived event) {
            state.sliceTracker.updateStatus(event.status(), state.nowMillis);
        }

        @Override
        public void on(HomeEvent.OwnerConnected event) {
            queueing.ownerConnected(event.owner());
        }

        @Override
        public void on(HomeEvent.OwnerDisconnected event) {
            queueing.ownerDisconnected(event.owner());
        }

        @Override
        public void on(HomeEvent.ViewChanged event) {
            state.view = event.view();
            queueing.viewChanged();
        }

        @Override
        public void on(HomeEvent.Sent event) {
            withLive(event.sequence(), delivery::sent);
        }

        @Override
        public void on(HomeEvent.NotSent event) {
            withLive(event.sequence(), request -> queueing.notSent(request, HomeText.get("it-was-too-late-to-send")));
        }

        @Override
        public void on(HomeEvent.ConnectFailed event) {
            withLive(event.sequence(), delivery::connectFailed);
        }

        @Override
        public void on(HomeEvent.TargetRefused event) {
            withLive(event.sequence(), delivery::targetRefused);
        }

        @Override
        public void on(HomeEvent.TargetFailed event) {
            withLive(event.sequence(), request -> delivery.targetFailed(request, event.status()));
        }

        @Override
        public void on(HomeEvent.TokenReceived event) {
            withLive(event.sequence(), request -> delivery.tokenReceived(request, event.token()));
        }

        @Override
        public void on(HomeEvent.CallAnswered event) {
            withLive(
                    event.sequence(),
                    request -> delivery.callAnswered(request, event.status(), event.contentType(), event.body()));
        }

        @Override
        public void on(HomeEvent.StreamBroken event) {
            withLive(event.sequence(), request -> delivery.streamBroken(request, event.reason()));
        }

        @Override
        public void on(HomeEvent.StreamSilent event) {
            withLive(event.sequence(), request -> delivery.streamSilent(request, event.reason()));
        }

        @Override
        public void on(HomeEvent.StreamUnknown event) {
            withLive(event.sequence(), delivery::streamUnknown);
        }

        @Override
        public void on(HomeEvent.StopRequested event) {
            state.leaving = true;
        }

        @Override
        public void on(HomeEvent.StopDue event) {
            state.leaving = true;
            state.liveRequests().forEach(completion::cutOff);
        }

        @Override
        public void on(HomeEvent.Ticked event) {
            state.tickets.expire(state.nowMillis);
            state.takeRequestsWithExpiredTimer().forEach(Home.this::handleTimer);
        }
    }
}
