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

/** Gives the pledges of this host: each slice to one process at a time. */
public final class Voter {
    private final long startedAtMillis;
    private final Map<SliceId, SliceVote> votes = new HashMap<>();

    /**
     * Creates a voter that has pledged nothing.
     *
     * @param startedAtMillis when this process started
     */
    public Voter(long startedAtMillis) {
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Answers a request.
     *
     * @param requester process that asks
     * @param request the request
     * @param membership newest view of the host list
     * @param timings times in force
     * @param nowMillis time now
     * @return pledges and refusals
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
            // An asker that this host's list does not have acts by another list; it must wait until both agree.
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
     * Takes pledges back.
     *
     * @param holder process that gives them back
     * @param slices the slices
     * @param clean true when no unused grant of the holder is left
     * @param timings times in force
     * @param nowMillis time now
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
     * Forgets slices that the list has no longer.
     *
     * @param membership newest view of the host list
     * @param nowMillis time now
     */
    public void prune(Membership membership, long nowMillis) {
        votes.entrySet()
                .removeIf(entry -> !membership.slices().contains(entry.getKey())
                        && entry.getValue().expiryMillis < nowMillis
                        && nowMillis - entry.getValue().expiryMillis > STATE_RETENTION_MILLIS);
    }

    private static final long STATE_RETENTION_MILLIS = 600_000;

    // A process that was restarted has forgotten what it pledged. Were it to pledge at once, two owners could count it
    // at
    // the same time; so it waits until any pledge of its earlier start has run out.
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

    /** What is pledged of one slice. */
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

        // The holder would renew for ever and the host that comes first by the list would never get the slice; so
        // renewal
        // ends while a host that comes before it asks.
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
