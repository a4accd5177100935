package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.floor.Floors;
import org.whinwharf.owner.placement.Placement;
import org.whinwharf.owner.placement.PlacementState;
import org.whinwharf.owner.pledge.Views;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.ServiceSpec;

/** What all slices of one process share. */
final class Scene {
    private static final long GRANTS_PER_START = 1L << 32;

    private final HomeId self;
    private final Placement placement;
    private final SchedulerCore.Whole whole;
    private final PlacementState placementState;
    private final Views views = new Views();
    private final Floors floors;
    private final Map<HomeId, Long> homeClocks = new HashMap<>();
    private final Set<String> reachable = new HashSet<>();
    private List<Action> actions = new ArrayList<>();
    private Rules rules;
    private boolean leaving;
    private long nextGrant;

    Scene(HomeId self, Placement placement, SchedulerCore.Whole whole) {
        this.whole = whole;
        this.self = self;
        this.placement = placement;
        this.placementState = new PlacementState(self.incarnation());
        this.floors = new Floors(self.incarnation());
        this.nextGrant = self.incarnation() * GRANTS_PER_START + 1;
    }

    HomeId self() {
        return self;
    }

    Placement placement() {
        return placement;
    }

    PlacementState placementState() {
        return placementState;
    }

    Views views() {
        return views;
    }

    Floors floors() {
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

    void update(Membership membership, Rules newRules, long nowMillis) {
        rules = newRules;
        views.update(membership, rules.timings(), nowMillis);
    }

    void release(SliceId slice, long nowMillis) {
        whole.release(slice, nowMillis);
    }

    void needFloor(String service, int rank, long nowMillis) {
        whole.needFloor(service, rank, nowMillis);
    }

    void heardClock(HomeId home, long clockMillis) {
        homeClocks.merge(home, clockMillis, Math::max);
    }

    long clock(HomeId home) {
        return homeClocks.getOrDefault(home, 0L);
    }

    void forget(HomeId home) {
        homeClocks.remove(home);
    }

    long newGrant() {
        return nextGrant++;
    }

    void toEntry(HomeId home, Frame.Builder frame) {
        actions.add(new Action.ToEntry(home, frame.build()));
    }

    void toPeer(String host, Frame.Builder frame) {
        actions.add(new Action.ToPeer(host, frame.build()));
    }

    void count(Measure measure, Object label) {
        actions.add(new Action.Counted(measure, String.valueOf(label)));
    }

    List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
