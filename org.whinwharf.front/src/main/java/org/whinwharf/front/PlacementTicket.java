package org.whinwharf.front;

import java.util.List;
import org.whinwharf.wire.fleet.RunEvent;
import org.whinwharf.wire.fleet.RunUnderWay;

/** What is known of one request's placement: who was asked for a target, and what it has there. */
final class PlacementTicket {
    private enum Stage {
        /** Nobody answered yet. */
        ASKING,
        /** The coordinator has it in its line. */
        WAITING,
        /** It has a target, by a grant or by this process's own choice. */
        PLACED,
        ENDED
    }

    private final Coordination coordination;
    private final long id;
    private final String service;
    private final PlacementListener listener;
    private Stage stage = Stage.ASKING;
    private String coordinatorName = "";
    private String coordinatorIp = "";
    private String targetId = "";
    private long prefillTokens;
    private long askedAtMillis;
    private long sentAtMillis;
    private int coordinatorsAsked;

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

    int coordinatorsAsked() {
        return coordinatorsAsked;
    }

    long askedAtMillis() {
        return askedAtMillis;
    }

    /** Tells whether it needs no target any more, or has one. */
    boolean settled() {
        return stage == Stage.PLACED || stage == Stage.ENDED;
    }

    /** Tells whether the coordinator said that the request waits there. */
    boolean waiting() {
        return stage == Stage.WAITING;
    }

    boolean isAt(String target) {
        return stage == Stage.PLACED && targetId.equals(target);
    }

    /** Notes whom it is put to. */
    void askedOf(String name, String ip, long nowMillis) {
        stage = Stage.ASKING;
        coordinatorName = name;
        coordinatorIp = ip;
        askedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
        coordinatorsAsked++;
    }

    /** Notes that the coordinator was asked whether the request still waits there. */
    void askedAgain(long nowMillis) {
        stage = Stage.ASKING;
        askedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Notes that the coordinator answered that the request waits. */
    void waits(long nowMillis) {
        stage = Stage.WAITING;
        askedAtMillis = nowMillis;
        sentAtMillis = nowMillis;
    }

    /** Notes that it was put to the same coordinator again. */
    void sentAgain(long nowMillis) {
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
    void addTo(List<RunUnderWay> runs) {
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
