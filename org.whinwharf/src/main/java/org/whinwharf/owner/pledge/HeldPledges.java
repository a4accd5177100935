package org.whinwharf.owner.pledge;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.SliceId;

/**
 * Pledges of the voters of one slice to one owner or candidate owner.
 *
 * <p>A pledge is a lease: a voter grants it to one process at a time, and it expires unless it is renewed.
 */
public final class HeldPledges {
    private final SliceId slice;
    private final MembershipViews views;
    private final ShareRule rule;
    private final Map<String, HeldPledge> byVoter = new HashMap<>();
    // Shares are computed many times between two pledges. Looking up each voter every time took most of a scheduler's
    // processing time.
    private final Map<Membership, HeldPledge[]> pledgesByView = new IdentityHashMap<>();

    /**
     * Creates an instance without pledges.
     *
     * @param slice the slice
     * @param views views of the host list that determine the voters
     * @param rule rule that converts pledges into a part of a limit
     */
    public HeldPledges(SliceId slice, MembershipViews views, ShareRule rule) {
        this.slice = slice;
        this.views = views;
        this.rule = rule;
    }

    /**
     * Adds or renews the pledge of a voter.
     *
     * @param voter name of the voter
     * @param requestSentAtMillis time at which the pledge request was sent, by the owner's monotonic clock
     * @param validityMillis validity of the pledge from the voter's receipt of the request, by the voter's clock
     * @param unheldMillis time since a pledge of the voter to another process can last have counted, by the voter's
     *     clock
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void add(
            String voter,
            long requestSentAtMillis,
            long validityMillis,
            long unheldMillis,
            Timings timings,
            long nowMillis) {
        if (requestSentAtMillis > nowMillis) {
            // A time in the future cannot come from this process, and would extend the pledge beyond its validity at
            // the voter.
            return;
        }
        // The validity starts when the voter receives the request, which is after it was sent. So the pledge expires
        // here before it expires at the voter.
        long expiryMillis = requestSentAtMillis + timings.lowerBoundMillis(validityMillis);
        // Requests granted by an earlier owner may arrive at a target until then, and a load measured earlier may not
        // include them.
        long effectiveFromMillis = nowMillis - timings.lowerBoundMillis(unheldMillis) + timings.grantExpiryMillis();
        byVoter.put(voter, new HeldPledge(expiryMillis, effectiveFromMillis));
        pledgesByView.clear();
    }

    /** Removes all pledges, for example after they were released. */
    public void clear() {
        byVoter.clear();
        pledgesByView.clear();
    }

    /**
     * Returns how many requests this owner may have in flight at a target.
     *
     * @param limit concurrency limit of the target
     * @param measuredAtMillis when the target's load was last measured
     * @param nowMillis current time
     * @return the smallest share of all views in force; 0 when no view is in force
     */
    public int usableSlots(int limit, long measuredAtMillis, long nowMillis) {
        List<Membership> viewsInForce = views.inForceAt(measuredAtMillis);
        int usable = viewsInForce.isEmpty() ? 0 : limit;
        for (Membership view : viewsInForce) {
            usable = Math.min(usable, share(view, measuredAtMillis, nowMillis).usableSlots(limit, rule));
        }
        return usable;
    }

    /**
     * Returns the share by the newest view for status reports, regardless of load measurements.
     *
     * @param nowMillis current time
     * @return the share
     */
    public Share share(long nowMillis) {
        return views.current()
                .map(view -> share(view, Long.MAX_VALUE, nowMillis))
                .orElse(Share.NONE);
    }

    private Share share(Membership view, long measuredAtMillis, long nowMillis) {
        HeldPledge[] pledges = pledgesByView.computeIfAbsent(view, this::pledges);
        if (pledges.length == 0) {
            return Share.NONE;
        }
        int pledged = 0;
        for (HeldPledge pledge : pledges) {
            if (nowMillis < pledge.expiryMillis() && pledge.effectiveFromMillis() <= measuredAtMillis) {
                pledged++;
            }
        }
        return new Share(pledged, pledges.length);
    }

    private HeldPledge[] pledges(Membership view) {
        return view.voters(slice).stream()
                .map(voter -> byVoter.getOrDefault(voter.getName(), HeldPledge.NONE))
                .toArray(HeldPledge[]::new);
    }

    private record HeldPledge(long expiryMillis, long effectiveFromMillis) {
        private static final HeldPledge NONE = new HeldPledge(Long.MIN_VALUE, Long.MAX_VALUE);
    }
}
