package org.whinwharf.owner.pledge;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.SliceId;

/** Pledges that one would-be owner has of the voters of one slice. */
public final class HeldPledges {
    private final SliceId slice;
    private final MembershipViews views;
    private final ShareRule rule;
    private final Map<String, HeldPledge> byVoter = new HashMap<>();
    // Shares are asked for many times between two pledges; to look up each voter anew was most of a scheduler's work.
    private final Map<Membership, HeldPledge[]> pledgesByView = new IdentityHashMap<>();

    /**
     * Creates an empty book.
     *
     * @param slice the slice
     * @param views views of the host list to count by
     * @param rule how pledges become parts of a limit
     */
    public HeldPledges(SliceId slice, MembershipViews views, ShareRule rule) {
        this.slice = slice;
        this.views = views;
        this.rule = rule;
    }

    /**
     * Records a pledge.
     *
     * @param voter name of the voter
     * @param requestSentAtMillis when the request was sent, by the owner's clock
     * @param validityMillis how long the pledge lasts by the voter's clock
     * @param unheldMillis how long ago a pledge to another host may last have counted, by the voter's clock
     * @param timings times in force
     * @param nowMillis time now
     */
    public void add(
            String voter,
            long requestSentAtMillis,
            long validityMillis,
            long unheldMillis,
            Timings timings,
            long nowMillis) {
        if (requestSentAtMillis > nowMillis) {
            // An echo that this process cannot have sent would make the pledge last longer than the voter's word.
            return;
        }
        // The voter's time starts when it gets the request, which is after it was sent; so this ends before the
        // voter's.
        long expiryMillis = requestSentAtMillis + timings.lowerBoundMillis(validityMillis);
        // Grants of an earlier owner may put requests at a target until then; a load measured earlier may lack them.
        long effectiveFromMillis = nowMillis - timings.lowerBoundMillis(unheldMillis) + timings.grantExpiryMillis();
        byVoter.put(voter, new HeldPledge(expiryMillis, effectiveFromMillis));
        pledgesByView.clear();
    }

    /** Forgets all pledges, for example after they were given back. */
    public void clear() {
        byVoter.clear();
        pledgesByView.clear();
    }

    /**
     * Returns the requests that this owner may have in flight at a target.
     *
     * @param limit requests that the target bears
     * @param measuredAtMillis when the target's load was last measured
     * @param nowMillis time now
     * @return the smallest share over all views that count; 0 when there is none
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
     * Returns the share by the newest view, whatever is known of the targets; for status.
     *
     * @param nowMillis time now
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
