package org.whinwharf.owner.pledge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.Pledge;
import org.whinwharf.wire.message.PledgeRequest;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;

/** Grants the pledges of this host: for each slice to one process at a time. */
public final class Voter {
    private final long startedAtMillis;
    private final Map<SliceId, SliceVote> votes = new HashMap<>();

    /**
     * Creates a voter without any pledge.
     *
     * @param startedAtMillis start time of this process, by its monotonic clock
     */
    public Voter(long startedAtMillis) {
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Answers a pledge request.
     *
     * @param requester process that requests the pledges
     * @param request the pledge request
     * @param membership newest view of the host list
     * @param timings timings of the current document
     * @param nowMillis current time
     * @return message with the pledged and the refused slices
     */
    public Pledge answer(
            ProcessId requester, PledgeRequest request, Membership membership, Timings timings, long nowMillis) {
        Pledge.Builder pledge = Pledge.newBuilder()
                .setEchoMillis(request.getSentAtMillis())
                .setGoodMillis(timings.pledgeMillis())
                .setListRevision(membership.revision());
        for (SliceId slice : request.getSlicesList()) {
            SliceVote vote = votes.computeIfAbsent(slice, key -> new SliceVote(earliestPledgeMillis(timings)));
            int rank = rank(membership, slice, requester.host());
            // A requester that is missing from this host's list acts by another list; it must wait until both lists
            // agree.
            boolean isListed = rank != Integer.MAX_VALUE;
            if (!isListed
                    || nowMillis < earliestPledgeMillis(timings)
                    || !vote.pledge(requester, rank, timings, nowMillis)) {
                pledge.addRefused(slice);
            } else {
                pledge.addSlices(slice).addQuietMillis(nowMillis - vote.lastOtherExpiryMillis);
            }
        }
        return pledge.build();
    }

    /**
     * Releases pledges of their holder.
     *
     * @param holder process that releases them
     * @param slices slices whose pledges are released
     * @param clean true when the holder has no unused grants
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void release(ProcessId holder, List<SliceId> slices, boolean clean, Timings timings, long nowMillis) {
        for (SliceId slice : slices) {
            SliceVote vote = votes.get(slice);
            if (vote != null && holder.equals(vote.holder)) {
                vote.release(clean ? timings.grantExpiryMillis() - Timings.MAX_TRANSIT_MILLIS : 0, nowMillis);
            }
        }
    }

    /**
     * Removes the state of slices that are no longer in the list.
     *
     * @param membership newest view of the host list
     * @param nowMillis current time
     */
    public void prune(Membership membership, long nowMillis) {
        votes.entrySet()
                .removeIf(entry -> !membership.slices().contains(entry.getKey())
                        && entry.getValue().expiryMillis < nowMillis
                        && nowMillis - entry.getValue().expiryMillis > STATE_RETENTION_MILLIS);
    }

    private static final long STATE_RETENTION_MILLIS = 600_000;

    // A restarted process has lost its record of pledges. If it pledged immediately, two owners could count its
    // pledge at the same time. So it waits until any pledge made before the restart has expired.
    private long earliestPledgeMillis(Timings timings) {
        return startedAtMillis + timings.upperBoundMillis(timings.pledgeMillis());
    }

    private static int rank(Membership membership, SliceId slice, String host) {
        List<Host> candidates = membership.candidates(slice);
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).getName().equals(host)) {
                return i;
            }
        }
        return Integer.MAX_VALUE;
    }

    /** Pledge of this host for one slice. */
    private static final class SliceVote {
        private ProcessId holder;
        private int holderRank;
        private long expiryMillis;
        private long lastOtherExpiryMillis;
        private ProcessId preferred;
        private int preferredRank;
        private long preferredExpiryMillis;

        SliceVote(long earliestPledgeMillis) {
            this.expiryMillis = earliestPledgeMillis;
            this.lastOtherExpiryMillis = earliestPledgeMillis;
        }

        boolean pledge(ProcessId requester, int rank, Timings timings, long nowMillis) {
            boolean isFree = holder == null || expiryMillis <= nowMillis;
            boolean isHolder = requester.equals(holder);
            if (preferredCandidateWaits(requester, rank, nowMillis)) {
                return false;
            }
            if (!isFree && !isHolder) {
                recordPreferred(requester, rank, nowMillis + timings.pledgeMillis());
                return false;
            }
            if (!isHolder && holder != null) {
                lastOtherExpiryMillis = Math.max(lastOtherExpiryMillis, expiryMillis);
            }
            holder = requester;
            holderRank = rank;
            expiryMillis = nowMillis + timings.pledgeMillis();
            return true;
        }

        void release(long cleanCreditMillis, long nowMillis) {
            lastOtherExpiryMillis = Math.max(lastOtherExpiryMillis, nowMillis - cleanCreditMillis);
            holder = null;
        }

        // The holder could renew its pledge indefinitely, and the preferred host, which is earlier in the list of
        // candidates, would never get the slice. So renewal is refused while a preferred host requests the pledge.
        private boolean preferredCandidateWaits(ProcessId requester, int rank, long nowMillis) {
            return preferred != null
                    && !preferred.equals(requester)
                    && preferredRank < rank
                    && nowMillis < preferredExpiryMillis;
        }

        private void recordPreferred(ProcessId requester, int rank, long requestExpiryMillis) {
            if (rank < holderRank) {
                preferred = requester;
                preferredRank = rank;
                preferredExpiryMillis = requestExpiryMillis;
            }
        }
    }
}
