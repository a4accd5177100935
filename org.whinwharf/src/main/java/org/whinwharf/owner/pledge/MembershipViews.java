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
 * Views of the host list that other owners may still act by.
 *
 * <p>Two processes with different lists can each see a majority of pledges, one among the voters of the old list and
 * one among those of the new list; a target would then get twice what it bears. Therefore an owner keeps each view that
 * was replaced until all processes have the newer one and grants made under the old one have run out, and counts its
 * pledges by every view that it keeps. A process that has just started cannot know the views before its first list, so
 * for the same time it uses nothing. This covers lists that lag by no more than the bound in the document.
 */
public final class MembershipViews {
    private final List<ReplacedView> replacedViews = new ArrayList<>();
    private Membership current;
    private List<Membership> currentOnly = List.of();
    private long earliestMeasurementMillis;

    /**
     * Takes in a new view.
     *
     * @param membership the new view
     * @param timings times in force
     * @param nowMillis time now
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
     * Starts anew after this process was paused: while it slept its list may have fallen behind by more than the bound,
     * and others may have settled on a newer one.
     *
     * @param timings times in force
     * @param nowMillis time now
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
     * Forgets views by which nobody can act any more.
     *
     * @param oldestMeasuredAtMillis time of the oldest load reading that is still used
     */
    public void prune(long oldestMeasuredAtMillis) {
        for (ReplacedView view : replacedViews) {
            if (view.obsoleteAtMillis() <= oldestMeasuredAtMillis) {
                // A load measured before that says nothing once the view is forgotten.
                earliestMeasurementMillis = Math.max(earliestMeasurementMillis, view.obsoleteAtMillis());
            }
        }
        replacedViews.removeIf(view -> view.obsoleteAtMillis() <= oldestMeasuredAtMillis);
    }

    /**
     * Returns the views to count by when a target was last looked at at some time.
     *
     * @param measuredAtMillis time at which the target's load was measured
     * @return views; empty when nothing may be counted yet
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
     * Tells whether a target belonged to a slice in every view that counts.
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
     * Returns everybody whose pledge counts in some view.
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
