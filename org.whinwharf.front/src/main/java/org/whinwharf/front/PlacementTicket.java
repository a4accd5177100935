package org.whinwharf.front;

import java.util.List;
import java.util.Optional;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.share.ShareCharge;
import org.whinwharf.wire.fleet.RunEvent;
import org.whinwharf.wire.fleet.RunUnderWay;

/** Tracks the placement of one request: the coordinator that was asked for a target, and the target it has. */
final class PlacementTicket {
    private enum Stage {
        /** No coordinator has replied yet. */
        REQUESTED,
        /** The request is queued at the coordinator. */
        QUEUED,
        /** The request has a target, granted by a coordinator or selected locally. */
        PLACED,
        /** The request has ended at its target, and what that says about the target is not known yet. */
        IN_REVIEW,
        ENDED
    }

    private final Coordination coordination;
    private final long id;
    private final String service;
    private final PlacementListener listener;
    private final Optional<Fingerprint> suspect;
    private Stage stage = Stage.REQUESTED;
    private String coordinatorName = "";
    private String coordinatorIp = "";
    private String targetId = "";
    private long prefillTokens;
    private long requestedAtMillis;
    private long sentAtMillis;
    private int coordinatorsTried;
    private int organisationDigest;
    private int tierRank;
    private ShareCharge charge = ShareCharge.NONE;

    /**
     * Creates a ticket.
     *
     * @param listener receives the coordinator's decision; null if this process has placed the request
     * @param suspect content of the request if a target may have crashed under it
     */
    PlacementTicket(
            Coordination coordination,
            long id,
            String service,
            PlacementListener listener,
            Optional<Fingerprint> suspect) {
        this.coordination = coordination;
        this.id = id;
        this.service = service;
        this.listener = listener;
        this.suspect = suspect;
    }

    long id() {
        return id;
    }

    String service() {
        return service;
    }

    PlacementListener listener() {
        return listener;
    }

    String coordinatorName() {
        return coordinatorName;
    }

    String coordinatorIp() {
        return coordinatorIp;
    }

    int coordinatorsTried() {
        return coordinatorsTried;
    }

    long requestedAtMillis() {
        return requestedAtMillis;
    }

    /** Sets the organisation and the rank in whose share the request is served. */
    void sharedBy(int digest, int rank) {
        organisationDigest = digest;
        tierRank = rank;
    }

    /** Sets what the local queue has charged for the request; it is corrected when the request ends. */
    void charged(ShareCharge localCharge) {
        charge = localCharge;
    }

    /** Tells whether the request has a target or no longer needs one. */
    boolean settled() {
        return stage != Stage.REQUESTED && stage != Stage.QUEUED;
    }

    /** Tells whether the coordinator replied that the request is queued. */
    boolean isQueued() {
        return stage == Stage.QUEUED;
    }

    boolean isPlacedAt(String target) {
        return stage == Stage.PLACED && targetId.equals(target);
    }

    /** Records that the placement request was sent to a coordinator. */
    void requestedFrom(String name, String ip, long nowMillis) {
        stage = Stage.REQUESTED;
        coordinatorName = name;
        coordinatorIp = ip;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
        coordinatorsTried++;
    }

    /** Records that the request was withdrawn from its coordinator, which did reply: no coordinator counts as tried. */
    void withdrawn() {
        coordinatorsTried = 0;
    }

    /** Records that the placement request of a queued request was repeated, to check that it is still queued. */
    void refreshed(long nowMillis) {
        stage = Stage.REQUESTED;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Records that the coordinator replied that the request is queued. */
    void queued(long nowMillis) {
        stage = Stage.QUEUED;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Records that the placement request was resent to the same coordinator. */
    void resent(long nowMillis) {
        sentAtMillis = nowMillis;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    /** Records the target of the request. */
    void placed(String target, long tokensToPrefill) {
        stage = Stage.PLACED;
        targetId = target;
        prefillTokens = tokensToPrefill;
    }

    /** Adds this request to a list of running requests, if it has a target. */
    void addRunTo(List<RunUnderWay> runs) {
        if (stage == Stage.PLACED || stage == Stage.IN_REVIEW) {
            runs.add(RunUnderWay.newBuilder()
                    .setId(id)
                    .setTarget(targetId)
                    .setPrefillTokens((int) prefillTokens)
                    .setSuspectFingerprint(suspect.orElse(Fingerprint.NONE).bits())
                    .setOrganisationDigest(organisationDigest)
                    .setTierRank(tierRank)
                    .build());
        }
    }

    /** Records that the coordinator rejected the request. */
    void rejected() {
        stage = Stage.ENDED;
        coordination.forget(this);
    }

    /** Reports to the coordinator how long the first event took; 0 if that says nothing about the target's speed. */
    void firstEvent(long elapsedMillis) {
        prefillTokens = 0;
        coordination.report(this, RunEvent.RUN_FIRST_EVENT, elapsedMillis);
    }

    /**
     * Reports to the coordinator that the target has sent nothing for too long.
     *
     * @return false when there is no coordinator to assess the target
     */
    boolean stalled() {
        if (coordinatorName.isEmpty()) {
            return false;
        }
        coordination.report(this, RunEvent.RUN_STALLED, 0);
        return true;
    }

    /** Reports to the coordinator that a target that was reported as silent has sent bytes again. */
    void resumed() {
        if (stage == Stage.PLACED) {
            coordination.report(this, RunEvent.RUN_RESUMED, 0);
        }
    }

    /** Reports to the coordinator that the request is no longer queued or running. */
    void ended(RunEvent event, long elapsedMillis) {
        ended(event, elapsedMillis, 0);
    }

    /** Reports the same with the number of events of the answer; 0 if they say nothing about the target's pace. */
    void ended(RunEvent event, long elapsedMillis, int events) {
        if (stage != Stage.ENDED && stage != Stage.IN_REVIEW) {
            reportEnd(event, elapsedMillis, events);
        }
    }

    /** Tells whether the request was placed as one under which targets may have crashed. */
    boolean ofSuspect() {
        return suspect.isPresent();
    }

    /**
     * Records that the target is silent but has not crashed. A suspect runs at one target at a time, so its run no
     * longer counts for the coordinator, which would else hold the request that is to be sent to another target.
     */
    void targetAlive() {
        ended(RunEvent.RUN_GIVEN_UP, 0);
    }

    /** Records that the request has failed at its target; {@link #reviewed} reports it. */
    void failed() {
        if (stage != Stage.ENDED) {
            stage = Stage.IN_REVIEW;
        }
    }

    /** Reports the failure of the request to the coordinator, once it is known what it says about the target. */
    void reviewed(RunEvent event) {
        if (stage == Stage.IN_REVIEW) {
            reportEnd(event, 0, 0);
        }
    }

    private void reportEnd(RunEvent event, long elapsedMillis, int events) {
        stage = Stage.ENDED;
        charge.ended(coordination.nowMillis());
        coordination.report(this, event, elapsedMillis, events);
        coordination.forget(this);
    }
}
