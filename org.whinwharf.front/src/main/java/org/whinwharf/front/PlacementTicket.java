package org.whinwharf.front;

import java.util.List;
import org.whinwharf.wire.fleet.RunEvent;
import org.whinwharf.wire.fleet.RunUnderWay;

/** What is known of one request's placement: who was asked for a target, and what it has there. */
final class PlacementTicket {
    private enum Stage {
        /** Nobody answered yet. */
        REQUESTED,
        /** The coordinator has it in its line. */
        QUEUED,
        /** It has a target, by a grant or by this process's own choice. */
        PLACED,
        ENDED
    }

    private final Coordination coordination;
    private final long id;
    private final String service;
    private final PlacementListener listener;
    private Stage stage = Stage.REQUESTED;
    private String coordinatorName = "";
    private String coordinatorIp = "";
    private String targetId = "";
    private long prefillTokens;
    private long requestedAtMillis;
    private long sentAtMillis;
    private int coordinatorsTried;

    PlacementTicket(Coordination coordination, long id, String service, PlacementListener listener) {
        this.coordination = coordination;
        this.id = id;
        this.service = service;
        this.listener = listener;
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

    /** Tells whether it needs no target any more, or has one. */
    boolean settled() {
        return stage == Stage.PLACED || stage == Stage.ENDED;
    }

    /** Tells whether the coordinator said that the request waits there. */
    boolean isQueued() {
        return stage == Stage.QUEUED;
    }

    boolean isPlacedAt(String target) {
        return stage == Stage.PLACED && targetId.equals(target);
    }

    /** Notes whom it is put to. */
    void requestedFrom(String name, String ip, long nowMillis) {
        stage = Stage.REQUESTED;
        coordinatorName = name;
        coordinatorIp = ip;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
        coordinatorsTried++;
    }

    /** Notes that the coordinator was asked whether the request still waits there. */
    void refreshed(long nowMillis) {
        stage = Stage.REQUESTED;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Notes that the coordinator answered that the request waits. */
    void queued(long nowMillis) {
        stage = Stage.QUEUED;
        requestedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Notes that it was put to the same coordinator again. */
    void resent(long nowMillis) {
        sentAtMillis = nowMillis;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    /** Notes that the request has a target. */
    void placed(String target, long tokensToRead) {
        stage = Stage.PLACED;
        targetId = target;
        prefillTokens = tokensToRead;
    }

    /** Adds what is under way to a list. */
    void addRunTo(List<RunUnderWay> runs) {
        if (stage == Stage.PLACED) {
            runs.add(RunUnderWay.newBuilder()
                    .setId(id)
                    .setTarget(targetId)
                    .setPrefillTokens((int) prefillTokens)
                    .build());
        }
    }

    /** Notes that the coordinator has done with it. */
    void refused() {
        stage = Stage.ENDED;
        coordination.forget(this);
    }

    /** Tells the coordinator how long the first event took. */
    void firstEvent(long tookMillis) {
        prefillTokens = 0;
        coordination.report(this, RunEvent.RUN_FIRST_EVENT, tookMillis);
    }

    /**
     * Tells the coordinator that nothing has come from the target for long.
     *
     * @return false when there is no coordinator that could judge it
     */
    boolean stalled() {
        if (coordinatorName.isEmpty()) {
            return false;
        }
        coordination.report(this, RunEvent.RUN_STALLED, 0);
        return true;
    }

    /** Tells the coordinator that the request waits or runs no more. */
    void ended(RunEvent event, long tookMillis) {
        if (stage != Stage.ENDED) {
            stage = Stage.ENDED;
            coordination.report(this, event, tookMillis);
            coordination.forget(this);
        }
    }
}
