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

/** State and operations shared by all slices of one process. */
final class SchedulerContext {
    private static final long GRANT_IDS_PER_INCARNATION = 1L << 32;

    private final ProcessId self;
    private final PlacementStrategy placement;
    private final SchedulerCore.ProcessOperations operations;
    private final PlacementState placementState;
    private final MembershipViews views = new MembershipViews();
    private final AdmissionFloors floors;
    private final Map<ProcessId, Long> latestHomeClocks = new HashMap<>();
    private final Set<String> reachable = new HashSet<>();
    private List<SchedulerAction> actions = new ArrayList<>();
    private SchedulerConfiguration configuration;
    private boolean leaving;
    private long nextGrant;

    SchedulerContext(ProcessId self, PlacementStrategy placement, SchedulerCore.ProcessOperations operations) {
        this.operations = operations;
        this.self = self;
        this.placement = placement;
        this.placementState = new PlacementState(self.incarnation());
        this.floors = new AdmissionFloors(self.incarnation());
        this.nextGrant = self.incarnation() * GRANT_IDS_PER_INCARNATION + 1;
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
        return configuration.timings();
    }

    boolean isReady() {
        return configuration != null;
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
        return configuration.lowestRank();
    }

    ServiceSpec service(String name) {
        return configuration.service(name);
    }

    void update(Membership membership, SchedulerConfiguration newConfiguration, long nowMillis) {
        configuration = newConfiguration;
        views.update(membership, configuration.timings(), nowMillis);
    }

    void release(SliceId slice, long nowMillis) {
        operations.release(slice, nowMillis);
    }

    void raiseFloor(String service, int rank, long nowMillis) {
        operations.raiseFloor(service, rank, nowMillis);
    }

    void recordClock(ProcessId home, long clockMillis) {
        latestHomeClocks.merge(home, clockMillis, Math::max);
    }

    long clock(ProcessId home) {
        return latestHomeClocks.getOrDefault(home, 0L);
    }

    void forget(ProcessId home) {
        latestHomeClocks.remove(home);
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

    void count(SchedulerCounter counter, Object label) {
        actions.add(new SchedulerAction.IncrementCounter(counter, String.valueOf(label)));
    }

    List<SchedulerAction> takeActions() {
        List<SchedulerAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
