package org.whinwharf.home;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.InFlight;
import org.whinwharf.wire.message.SliceId;

/** Tracks the connected slice owners and sends messages to them. */
final class OwnerLinks {
    private final HomeState state;
    private final Set<String> connectedOwners = new HashSet<>();
    private final Set<OwnedSlice> inFlightReported = new HashSet<>();

    OwnerLinks(HomeState state) {
        this.state = state;
    }

    void connected(String owner) {
        connectedOwners.add(owner);
        inFlightReported.removeIf(greeting -> greeting.owner().equals(owner));
    }

    void disconnected(String owner) {
        connectedOwners.remove(owner);
    }

    void viewChanged() {
        // An owner that lost a slice and got it back no longer knows the requests in flight there, so they are
        // reported to it again.
        inFlightReported.clear();
    }

    /** Returns the preferred owner of a slice that has not refused; empty when that host is not connected. */
    Optional<String> connectedOwner(SliceId slice, Set<String> refusing) {
        return state.view.owners(slice).stream()
                .filter(owner -> !refusing.contains(owner))
                .findFirst()
                .filter(connectedOwners::contains);
    }

    void send(String owner, Frame frame) {
        if (connectedOwners.contains(owner)) {
            state.emit(new HomeAction.SendToOwner(owner, frame));
        }
    }

    void enqueue(Request request, SliceId slice, String owner) {
        Submission submission = request.submission;
        Enqueue.Builder enqueue = Enqueue.newBuilder()
                .setSlice(slice)
                .setRequest(request.sequence)
                .setTierRank(submission.tierRank())
                .setOrganisation(submission.organisation())
                .setWeight(submission.weight())
                .setModel(submission.model())
                .setPromptTokens(submission.promptTokens())
                .setAnswerTokens(submission.maxTokens())
                .addAllPrefixes(submission.prefixes())
                .setLeftMillis(request.deadlineAtMillis - state.nowMillis)
                .setSentAtMillis(state.nowMillis);
        if (inFlightReported.add(new OwnedSlice(owner, slice))) {
            enqueue.addAllInFlight(inFlight(slice, owner));
        }
        request.slice = slice;
        request.owner = owner;
        request.queuedAtMillis = state.nowMillis;
        request.reconsiderAtMillis = state.nowMillis + state.settings.reconsiderIntervalMillis();
        state.sliceTracker.recordQueued(slice);
        state.scheduleTimer(request);
        send(owner, Frame.newBuilder().setEnqueue(enqueue).build());
        state.note(request, HomeNote.ENQUEUED, HomeText.get("enqueued", owner, name(slice)));
    }

    void returnUnused(String owner, Grant grant) {
        Finished finished = Finished.newBuilder()
                .setSlice(grant.getSlice())
                .setRequest(grant.getRequest())
                .setGrant(grant.getGrant())
                .setTarget(grant.getTarget())
                .setKind(FinishKind.UNUSED)
                .build();
        send(owner, Frame.newBuilder().setFinished(finished).build());
    }

    void finished(Request request, FinishKind kind, long nowMillis) {
        RequestTimes times = request.times(nowMillis);
        Grant grant = request.grant;
        Finished finished = Finished.newBuilder()
                .setSlice(grant.getSlice())
                .setRequest(request.sequence)
                .setGrant(grant.getGrant())
                .setTarget(grant.getTarget())
                .setKind(kind)
                .setFirstTokenMillis(times.firstTokenMillis())
                .setTotalMillis(times.totalMillis())
                .setPrefillTokens(times.prefillTokens())
                .setPromptTokens(times.promptTokens())
                .setAnswerTokens(times.answerTokens())
                .build();
        Frame frame = Frame.newBuilder().setFinished(finished).build();
        Set<String> recipients = new LinkedHashSet<>();
        recipients.add(request.grantOwner);
        // Another host may own the slice by now, and counts this request if it received the list of requests in
        // flight. The view may still name the host that leaves. Without this message the new owner would keep the slot
        // occupied for ever, which shows as requests that wait while targets are idle.
        recipients.addAll(request.ownersCountingInFlight);
        connectedOwner(grant.getSlice(), Set.of()).ifPresent(recipients::add);
        recipients.forEach(owner -> send(owner, frame));
    }

    static String name(SliceId slice) {
        return slice.getService() + "/" + slice.getDataCentre() + "/" + slice.getIndex();
    }

    private List<InFlight> inFlight(SliceId slice, String owner) {
        return state.liveById.values().stream()
                .filter(request ->
                        request.grant != null && request.grant.getSlice().equals(slice))
                .peek(request -> request.ownersCountingInFlight.add(owner))
                .map(OwnerLinks::inFlight)
                .toList();
    }

    private static InFlight inFlight(Request request) {
        return InFlight.newBuilder()
                .setRequest(request.sequence)
                .setTarget(request.grant.getTarget())
                .build();
    }

    private record OwnedSlice(String owner, SliceId slice) {}
}
