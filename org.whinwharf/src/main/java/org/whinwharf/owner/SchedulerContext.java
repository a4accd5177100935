package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.floor.AdmissionFloors;
import org.whinwharf.owner.placement.PlacementState;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.owner.pledge.MembershipViews;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.ServiceSpec;

/** What all slices of one process share. */
final class SchedulerContext {
    private static final long GRANTS_PER_START = 1L << 32;

    private final ProcessId self;
    private final PlacementStrategy placement;
    private final SchedulerCore.ProcessOperations whole;
    private final PlacementState placementState;
    private final MembershipViews views = new MembershipViews();
    private final AdmissionFloors floors;
    private final Map<ProcessId, Long> homeClocks = new HashMap<>();
    private final Set<String> reachable = new HashSet<>();
    private List<SchedulerAction> actions = new ArrayList<>();
    private SchedulerConfiguration rules;
    private boolean leaving;
    private long nextGrant;

    SchedulerContext(ProcessId self, PlacementStrategy placement, SchedulerCore.ProcessOperations whole) {
        this.whole = whole;
        this.self = self;
        this.placement = placement;
        this.placementState = new PlacementState(self.incarnation());
        this.floors = new AdmissionFloors(self.incarnation());
        this.nextGrant = self.incarnation() * GRANTS_PER_START + 1;
    }

    ProcessId self() {
        return self;
    }

    PlacementStrategy placement() {
        return placement;
    }

    PlacementState placementState() {
        return placementState;
    }

    MembershipViews views() {
        return views;
    }

    AdmissionFloors floors() {
        return floors;
    }

    Set<String> reachable() {
        return reachable;
    }

    Timings timings() {
        return rules.timings();
    }

    boolean isReady() {
        return rules != null;
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    Membership membership() {
        return views.current().orElseThrow();
    }

    int lowestRank() {
        return rules.lowestRank();
    }

    ServiceSpec service(String name) {
        return rules.service(name);
    }

    void update(Membership membership, SchedulerConfiguration newRules, long nowMillis) {
        rules = newRules;
        views.update(membership, rules.timings(), nowMillis);
    }

    void release(SliceId slice, long nowMillis) {
        whole.release(slice, nowMillis);
    }

    void raiseFloor(String service, int rank, long nowMillis) {
        whole.raiseFloor(service, rank, nowMillis);
    }

    void recordClock(ProcessId home, long clockMillis) {
        homeClocks.merge(home, clockMillis, Math::max);
    }

    long clock(ProcessId home) {
        return homeClocks.getOrDefault(home, 0L);
    }

    void forget(ProcessId home) {
        homeClocks.remove(home);
    }

    long nextGrantId() {
        return nextGrant++;
    }

    void sendToEntry(ProcessId home, Frame.Builder frame) {
        actions.add(new SchedulerAction.SendToEntry(home, frame.build()));
    }

    void sendToPeer(String host, Frame.Builder frame) {
        actions.add(new SchedulerAction.SendToPeer(host, frame.build()));
    }

    void count(SchedulerCounter measure, Object label) {
        actions.add(new SchedulerAction.IncrementCounter(measure, String.valueOf(label)));
    }

    List<SchedulerAction> takeActions() {
        List<SchedulerAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
