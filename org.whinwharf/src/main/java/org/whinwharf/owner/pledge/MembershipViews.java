package org.whinwharf.owner.pledge;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;

/**
 * Views of the host list under which owners may still act.
 *
 * <p>Two processes with different lists can each see a majority of pledges, one among the voters of the old list and
 * one among those of the new list; a target would then receive twice its limit. Therefore an owner keeps each replaced
 * view until all processes have the newer one and the grants made under the old one have expired, and counts its
 * pledges by every view that it keeps. A process that has just started does not know the views before its first list,
 * so it uses no capacity for the same time. This is sufficient as long as lists lag by no more than the bound in the
 * document.
 */
public final class MembershipViews {
    private final List<ReplacedView> replacedViews = new ArrayList<>();
    private Membership current;
    private List<Membership> currentOnly = List.of();
    private long earliestMeasurementMillis;

    /**
     * Adds a new view, which replaces the current one.
     *
     * @param membership the new view
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void update(Membership membership, Timings timings, long nowMillis) {
        long obsoleteAtMillis =
                nowMillis + timings.upperBoundMillis(timings.listLagMillis()) + timings.grantExpiryMillis();
        if (current == null) {
            earliestMeasurementMillis = obsoleteAtMillis;
        } else {
            replacedViews.add(new ReplacedView(current, obsoleteAtMillis));
        }
        current = membership;
        currentOnly = List.of(membership);
    }

    /**
     * Disregards all measurements before the lists must agree again, after this process was paused. During the pause
     * its list may have fallen behind by more than the bound, and other processes may already act by a newer list
     * alone.
     *
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void resetAfterPause(Timings timings, long nowMillis) {
        earliestMeasurementMillis =
                nowMillis + timings.upperBoundMillis(timings.listLagMillis()) + timings.grantExpiryMillis();
    }

    /**
     * Returns the newest view.
     *
     * @return the view; empty before the first list
     */
    public Optional<Membership> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Removes views by which no process can act any longer.
     *
     * @param oldestMeasuredAtMillis measurement time of the oldest load reading still in use
     */
    public void prune(long oldestMeasuredAtMillis) {
        for (ReplacedView view : replacedViews) {
            if (view.obsoleteAtMillis() <= oldestMeasuredAtMillis) {
                // Once the view is removed, a load measured before this time cannot be used.
                earliestMeasurementMillis = Math.max(earliestMeasurementMillis, view.obsoleteAtMillis());
            }
        }
        replacedViews.removeIf(view -> view.obsoleteAtMillis() <= oldestMeasuredAtMillis);
    }

    /**
     * Returns the views by which pledges count for a target, given the time of its load measurement.
     *
     * @param measuredAtMillis time at which the target's load was measured
     * @return views; empty when no capacity may be used yet
     */
    public List<Membership> inForceAt(long measuredAtMillis) {
        if (current == null || measuredAtMillis < earliestMeasurementMillis) {
            return List.of();
        }
        if (replacedViews.isEmpty()) {
            return currentOnly;
        }
        List<Membership> counted = new ArrayList<>();
        counted.add(current);
        for (ReplacedView view : replacedViews) {
            if (measuredAtMillis < view.obsoleteAtMillis()) {
                counted.add(view.membership());
            }
        }
        return counted;
    }

    /**
     * Returns whether a target belongs to a slice in every view in force.
     *
     * @param target name of the target
     * @param slice the slice
     * @param measuredAtMillis time at which the target's load was measured
     * @return false when the owner of another slice may still send to the target
     */
    public boolean belongsInAllViews(String target, SliceId slice, long measuredAtMillis) {
        List<Membership> counted = inForceAt(measuredAtMillis);
        for (Membership view : counted) {
            if (!view.sliceOf(target).filter(slice::equals).isPresent()) {
                return false;
            }
        }
        return !counted.isEmpty();
    }

    /**
     * Returns the voters of a slice in any view.
     *
     * @param slice the slice
     * @return names of hosts
     */
    public Set<String> voters(SliceId slice) {
        Set<String> voters = new LinkedHashSet<>();
        if (current != null) {
            current.voters(slice).stream().map(Host::getName).forEach(voters::add);
        }
        for (ReplacedView view : replacedViews) {
            view.membership().voters(slice).stream().map(Host::getName).forEach(voters::add);
        }
        return voters;
    }

    private record ReplacedView(Membership membership, long obsoleteAtMillis) {}
}
