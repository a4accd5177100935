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
    private final Map<SliceId, State> states = new HashMap<>();

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
     * @param asker process that asks
     * @param request the request
     * @param membership newest view of the host list
     * @param timings times in force
     * @param nowMillis time now
     * @return pledges and refusals
     */
    public Pledge answer(
            ProcessId asker, PledgeRequest request, Membership membership, Timings timings, long nowMillis) {
        Pledge.Builder pledge = Pledge.newBuilder()
                .setEchoMillis(request.getSentAtMillis())
                .setGoodMillis(timings.pledgeMillis())
                .setListRevision(membership.revision());
        for (SliceId slice : request.getSlicesList()) {
            State state = states.computeIfAbsent(slice, key -> new State(settledAtMillis(timings)));
            int rank = rank(membership, slice, asker.host());
            // An asker that this host's list does not have acts by another list; it must wait until both agree.
            boolean known = rank != Integer.MAX_VALUE;
            if (!known || nowMillis < settledAtMillis(timings) || !state.pledge(asker, rank, timings, nowMillis)) {
                pledge.addRefused(slice);
            } else {
                pledge.addSlices(slice).addQuietMillis(nowMillis - state.foreignUntilMillis);
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
            State state = states.get(slice);
            if (state != null && holder.equals(state.holder)) {
                state.release(clean ? timings.grantExpiryMillis() - Timings.MAX_TRANSIT_MILLIS : 0, nowMillis);
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
        states.entrySet()
                .removeIf(entry -> !membership.slices().contains(entry.getKey())
                        && entry.getValue().untilMillis < nowMillis
                        && nowMillis - entry.getValue().untilMillis > FORGET_MILLIS);
    }

    private static final long FORGET_MILLIS = 600_000;

    // A process that was restarted has forgotten what it pledged. Were it to pledge at once, two owners could count it
    // at
    // the same time; so it waits until any pledge of its earlier start has run out.
    private long settledAtMillis(Timings timings) {
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
    private static final class State {
        private ProcessId holder;
        private int holderRank;
        private long untilMillis;
        private long foreignUntilMillis;
        private ProcessId better;
        private int betterRank;
        private long betterUntilMillis;

        State(long settledAtMillis) {
            this.untilMillis = settledAtMillis;
            this.foreignUntilMillis = settledAtMillis;
        }

        boolean pledge(ProcessId asker, int rank, Timings timings, long nowMillis) {
            boolean free = holder == null || untilMillis <= nowMillis;
            boolean mine = asker.equals(holder);
            if (betterWaits(asker, rank, nowMillis)) {
                return false;
            }
            if (!free && !mine) {
                note(asker, rank, nowMillis + timings.pledgeMillis());
                return false;
            }
            if (!mine && holder != null) {
                foreignUntilMillis = Math.max(foreignUntilMillis, untilMillis);
            }
            holder = asker;
            holderRank = rank;
            untilMillis = nowMillis + timings.pledgeMillis();
            return true;
        }

        void release(long creditMillis, long nowMillis) {
            foreignUntilMillis = Math.max(foreignUntilMillis, nowMillis - creditMillis);
            holder = null;
        }

        // The holder would renew for ever and the host that comes first by the list would never get the slice; so
        // renewal
        // ends while a host that comes before it asks.
        private boolean betterWaits(ProcessId asker, int rank, long nowMillis) {
            return better != null && !better.equals(asker) && betterRank < rank && nowMillis < betterUntilMillis;
        }

        private void note(ProcessId asker, int rank, long noteUntilMillis) {
            if (rank < holderRank) {
                better = asker;
                betterRank = rank;
                betterUntilMillis = noteUntilMillis;
            }
        }
    }
}
