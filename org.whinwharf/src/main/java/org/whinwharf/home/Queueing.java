package org.whinwharf.home;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.routing.RoutingPolicy;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Recall;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.SliceId;

/** Queues each waiting request at the owner of a slice and handles the messages of owners. */
final class Queueing {
    private final HomeState state;
    private final OwnerLinks owners;
    private final RequestCompletion completion;
    private final RoutingPolicy policy;
    private final UniformRandomProvider random;

    Queueing(
            HomeState state,
            OwnerLinks owners,
            RequestCompletion completion,
            RoutingPolicy policy,
            UniformRandomProvider random) {
        this.state = state;
        this.owners = owners;
        this.completion = completion;
        this.policy = policy;
        this.random = random;
    }

    /** Queues a waiting request at the connected owner of the slice that the routing policy selects. */
    void place(Request request) {
        request.retryAtMillis = Long.MAX_VALUE;
        List<SliceId> inService = inService(request);
        if (request.slicesWithoutTarget.containsAll(inService)) {
            Outcome outcome = state.failure(ErrorKind.NO_TARGET, HomeText.get("no-target-of-the-service-may-be-used"));
            completion.end(request, outcome, FinishKind.UNUSED);
            return;
        }
        List<SliceId> candidates = inService.stream()
                .filter(slice -> !request.excludedSlices.contains(slice))
                .filter(slice -> !request.slicesWithoutTarget.contains(slice))
                .filter(slice ->
                        owners.connectedOwner(slice, request.refusingOwners).isPresent())
                .toList();
        if (candidates.isEmpty()) {
            request.retryAtMillis = state.nowMillis + state.settings.placementRetryIntervalMillis();
            state.note(request, HomeNote.UNPLACED, HomeText.get("no-owner-can-be-reached"));
            state.scheduleTimer(request);
            return;
        }
        enqueue(request, choose(request, candidates));
    }

    /** Places a request again, without regard to the slices and owners excluded so far. */
    void retry(Request request) {
        request.clearExclusions();
        place(request);
    }

    /** Moves a request that waits long to a slice with available slots or, failing that, with a shorter wait. */
    void moveToBetterSlice(Request request) {
        request.reconsiderAtMillis = state.nowMillis + state.settings.reconsiderIntervalMillis();
        long waitedMillis = state.nowMillis - request.queuedAtMillis;
        state.sliceTracker.recordStall(request.slice, waitedMillis, state.nowMillis);
        SliceId current = request.slice;
        Optional<SliceId> alternative = alternativeWithSlots(request)
                .or(() -> alternativeWithShorterWait(request, waitedMillis))
                .filter(slice -> !slice.equals(current));
        if (alternative.isPresent() && !state.sliceTracker.hasAvailableSlots(current, state.nowMillis)) {
            completion.withdraw(request);
            enqueue(request, alternative.get());
        }
    }

    void granted(String owner, Grant grant) {
        state.sliceTracker.recordGrant(grant.getSlice());
        Request request = state.liveById.get(grant.getRequest());
        if (request == null || !isExpected(request, owner, grant)) {
            owners.returnUnused(owner, grant);
            return;
        }
        request.leaveQueue();
        long grantExpiresAtMillis = grant.getEchoMillis() + grant.getGoodMillis();
        Optional<String> error = grantError(request, grant, grantExpiresAtMillis);
        if (error.isPresent()) {
            state.note(request, HomeNote.GRANT_RETURNED, error.get());
            owners.returnUnused(owner, grant);
            requeue(request);
            return;
        }
        dispatch(request, owner, grant, grantExpiresAtMillis);
    }

    /** Returns the grant of a request that was not sent, and queues the request again. */
    void notSent(Request request, String reason) {
        if (request.phase != RequestPhase.GRANTED || !request.gate.close()) {
            return;
        }
        state.note(request, HomeNote.GRANT_RETURNED, reason);
        owners.returnUnused(request.grantOwner, request.grant);
        request.dropGrant();
        request.phase = RequestPhase.WAITING;
        requeue(request);
    }

    /** Queues a request again after the connection to its target failed. */
    void connectFailed(Request request) {
        owners.finished(request, FinishKind.FAILED, state.nowMillis);
        request.dropGrant();
        request.phase = RequestPhase.WAITING;
        if (state.retryBudget.tryAcquire(state.view.retryFloorPerSecond(), state.nowMillis)) {
            requeue(request);
        } else {
            // A rejection here could shed a high tier while lower tiers wait. The request is delayed instead, so that
            // many targets that fail at once do not cause a storm of messages.
            request.retryAtMillis = state.nowMillis + state.settings.defaultRetryAfterMillis();
            state.scheduleTimer(request);
        }
    }

    void recalled(Recall recall) {
        Request request = state.liveById.get(recall.getRequest());
        if (request != null && request.grant != null && request.grant.getGrant() == recall.getGrant()) {
            notSent(request, HomeText.get("the-owner-called-the-grant-back"));
        }
    }

    void refused(String owner, Refusal refusal) {
        Request request = state.liveById.get(refusal.getRequest());
        if (request == null
                || !owner.equals(request.owner)
                || !refusal.getSlice().equals(request.slice)) {
            return;
        }
        SliceId slice = request.slice;
        request.leaveQueue();
        state.note(
                request,
                HomeNote.REFUSED,
                HomeText.get("refused", refusal.getReason().name(), owner));
        switch (refusal.getReason()) {
            case NOT_OWNER -> placeElsewhere(request, request.excludedSlices, slice);
            case OWNER_LEAVING -> placeElsewhere(request, request.refusingOwners, owner);
            case NO_TARGET -> placeElsewhere(request, request.slicesWithoutTarget, slice);
            case SHED -> retryOnceElsewhere(request, slice, ErrorKind.SHED, HomeText.get("no-room"), refusal);
            // The queue of one owner is too long; other owners may still serve lower tiers.
            case HOPELESS ->
                retryOnceElsewhere(
                        request, slice, ErrorKind.HOPELESS, HomeText.get("the-deadline-cannot-be-met"), refusal);
            case BELOW_FLOOR -> reject(request, ErrorKind.SHED, HomeText.get("higher-tiers-need-the-room"), refusal);
            default -> placeElsewhere(request, request.excludedSlices, slice);
        }
    }

    void ownerConnected(String owner) {
        owners.connected(owner);
        state.liveRequests().stream().filter(Queueing::isUnplaced).forEach(this::retry);
    }

    void ownerDisconnected(String owner) {
        owners.disconnected(owner);
        for (Request request : state.liveRequests()) {
            if (owner.equals(request.owner)) {
                request.leaveQueue();
                retry(request);
            }
        }
    }

    void viewChanged() {
        owners.viewChanged();
        for (Request request : state.liveRequests()) {
            if (request.phase == RequestPhase.GRANTED && !state.view.isUsable(request.location.target())) {
                notSent(request, HomeText.get("the-target-may-not-be-used-any-more"));
            } else if (request.phase == RequestPhase.WAITING) {
                moveIfNeeded(request);
            }
        }
    }

    private void moveIfNeeded(Request request) {
        if (request.owner != null && isQueuedAtCurrentOwner(request)) {
            return;
        }
        completion.withdraw(request);
        retry(request);
    }

    private boolean isQueuedAtCurrentOwner(Request request) {
        boolean inService = state.view.isInService(request.slice.getDataCentre());
        Optional<String> owner = owners.connectedOwner(request.slice, request.refusingOwners);
        return inService && owner.filter(request.owner::equals).isPresent();
    }

    // A process that was paused resumes with stale state. The deadline, the grant, the data centre and the target are
    // checked again here; the send gate checks the time once more immediately before the request is sent.
    private Optional<String> grantError(Request request, Grant grant, long grantExpiresAtMillis) {
        if (state.nowMillis >= grantExpiresAtMillis) {
            return Optional.of(HomeText.get("the-grant-had-run-out"));
        }
        if (state.nowMillis >= request.deadlineAtMillis) {
            return Optional.of(HomeText.get("the-deadline-had-passed"));
        }
        if (!state.view.isUsable(grant.getTarget())) {
            return Optional.of(HomeText.get("the-target-may-not-be-used"));
        }
        return Optional.empty();
    }

    private static boolean isExpected(Request request, String owner, Grant grant) {
        return request.phase == RequestPhase.WAITING
                && owner.equals(request.owner)
                && grant.getSlice().equals(request.slice);
    }

    private void dispatch(Request request, String owner, Grant grant, long grantExpiresAtMillis) {
        request.phase = RequestPhase.GRANTED;
        request.grant = grant;
        request.grantOwner = owner;
        request.gate = new SendGate(Math.min(grantExpiresAtMillis, request.deadlineAtMillis));
        String stream = state.requestId(request.sequence);
        request.location = new RequestLocation(grant.getTarget(), grant.getAddress(), grant.getPort(), stream);
        state.note(request, HomeNote.GRANTED, HomeText.get("granted", grant.getTarget(), owner));
        state.emit(new HomeAction.Dispatch(request.sequence, request.location, request.submission, request.gate));
    }

    private void requeue(Request request) {
        if (state.nowMillis >= request.deadlineAtMillis) {
            completion.cancel(request, ErrorKind.DEADLINE_WAITING, ErrorKind.DEADLINE_RUNNING);
            return;
        }
        retry(request);
    }

    private <T> void placeElsewhere(Request request, Set<T> exclusions, T excluded) {
        exclusions.add(excluded);
        place(request);
    }

    private void retryOnceElsewhere(Request request, SliceId slice, ErrorKind kind, String detail, Refusal refusal) {
        request.excludedSlices.add(slice);
        long remainingMillis = request.deadlineAtMillis - state.nowMillis;
        Optional<SliceId> alternative = request.retriedElsewhere
                ? Optional.empty()
                : alternativeWithSlots(request).or(() -> alternativeWithShorterWait(request, remainingMillis / 2));
        boolean mayRetry = alternative.isPresent()
                && state.retryBudget.tryAcquire(state.view.retryFloorPerSecond(), state.nowMillis);
        if (mayRetry) {
            request.retriedElsewhere = true;
            enqueue(request, alternative.get());
        } else {
            reject(request, kind, detail, refusal);
        }
    }

    private Optional<SliceId> alternativeWithSlots(Request request) {
        List<SliceId> candidates = inService(request).stream()
                .filter(slice -> !request.excludedSlices.contains(slice))
                .filter(slice -> state.sliceTracker.hasAvailableSlots(slice, state.nowMillis))
                .filter(slice ->
                        owners.connectedOwner(slice, request.refusingOwners).isPresent())
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(choose(request, candidates));
    }

    // When all slices are full, one owner may hold back high tiers while another still serves low ones, because owners
    // do not know the queues of each other. A request moves to a slice whose estimated wait for its tier is shorter, by
    // at least the reconsider interval, than the time it has waited; after a move it must wait that interval again.
    private Optional<SliceId> alternativeWithShorterWait(Request request, long waitedMillis) {
        long maxWaitMillis = waitedMillis - state.settings.reconsiderIntervalMillis();
        int rank = request.submission.tierRank();
        List<SliceId> candidates = inService(request).stream()
                .filter(slice -> !slice.equals(request.slice))
                .filter(slice -> !request.excludedSlices.contains(slice))
                .filter(slice -> state.sliceTracker.servesWithin(slice, rank, maxWaitMillis, state.nowMillis))
                .filter(slice ->
                        owners.connectedOwner(slice, request.refusingOwners).isPresent())
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(choose(request, candidates));
    }

    private void reject(Request request, ErrorKind kind, String detail, Refusal refusal) {
        long retryAfterMillis = refusal.getComeBackMillis() > 0
                ? refusal.getComeBackMillis()
                : state.settings.defaultRetryAfterMillis();
        completion.end(request, Outcome.failed(kind, detail, retryAfterMillis, ""), FinishKind.UNUSED);
    }

    private void enqueue(Request request, SliceId slice) {
        owners.enqueue(
                request,
                slice,
                owners.connectedOwner(slice, request.refusingOwners).orElseThrow());
    }

    private SliceId choose(Request request, List<SliceId> slices) {
        return policy.choose(
                slices, request.routing, state.sliceTracker, state.view::distanceMillis, random, state.nowMillis);
    }

    private List<SliceId> inService(Request request) {
        return state.view.slices(request.submission.service()).stream()
                .filter(slice -> state.view.isInService(slice.getDataCentre()))
                .toList();
    }

    private static boolean isUnplaced(Request request) {
        return request.phase == RequestPhase.WAITING && request.owner == null;
    }
}
