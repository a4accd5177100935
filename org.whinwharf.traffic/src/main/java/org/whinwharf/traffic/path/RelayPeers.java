package org.whinwharf.traffic.path;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongFunction;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.wire.fleet.MemberReport;

/** Chooses the peers through which this process reaches targets that it does not reach itself. */
public final class RelayPeers {
    /** Time for which a peer that could not relay is not asked again. */
    private static final long SKIP_MILLIS = 1_000;

    private final String localName;
    private final LongFunction<List<Member>> servingMembers;
    private final Random random;
    private final Map<String, Long> skippedUntilMillis = new HashMap<>();

    /**
     * Creates a chooser.
     *
     * @param localName name of this process
     * @param servingMembers returns the members that serve callers at a monotonic time in milliseconds
     * @param random source of randomness
     */
    public RelayPeers(String localName, LongFunction<List<Member>> servingMembers, Random random) {
        this.localName = localName;
        this.servingMembers = servingMembers;
        this.random = random;
    }

    /**
     * Chooses a peer that reaches targets, in the data centre of the target if there is one, so that the bytes cross
     * data centres once at most.
     *
     * @param dataCentre data centre of the target
     * @param askedPeers names of peers that were asked already
     * @param nowMillis monotonic time in milliseconds
     * @return latest report of the peer; empty if there is none
     */
    public Optional<MemberReport> choose(String dataCentre, Collection<String> askedPeers, long nowMillis) {
        skippedUntilMillis.values().removeIf(endMillis -> nowMillis >= endMillis);
        List<MemberReport> near = new ArrayList<>();
        List<MemberReport> far = new ArrayList<>();
        for (Member member : servingMembers.apply(nowMillis)) {
            MemberReport report = member.report();
            if (canRelay(report) && !askedPeers.contains(report.getName())) {
                (report.getDataCentre().equals(dataCentre) ? near : far).add(report);
            }
        }
        List<MemberReport> candidates = near.isEmpty() ? far : near;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /**
     * Tells whether any peer can relay.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if a peer can be asked
     */
    public boolean available(long nowMillis) {
        return choose("", List.of(), nowMillis).isPresent();
    }

    private boolean canRelay(MemberReport report) {
        return report.getRelayPort() > 0
                && !report.getPartitioned()
                && !report.getName().equals(localName)
                && !skippedUntilMillis.containsKey(report.getName());
    }

    /**
     * Records that a peer could not relay, so that others are asked for a while.
     *
     * @param peer name of the peer
     * @param nowMillis monotonic time in milliseconds
     */
    public void skip(String peer, long nowMillis) {
        skippedUntilMillis.put(peer, nowMillis + SKIP_MILLIS);
    }

    /**
     * Tells whether a peer still serves, so that an idle connection through it may be used.
     *
     * @param peer name of the peer
     * @param nowMillis monotonic time in milliseconds
     * @return true if it serves and reaches targets
     */
    public boolean usable(String peer, long nowMillis) {
        return servingMembers.apply(nowMillis).stream()
                .map(Member::report)
                .anyMatch(report -> report.getName().equals(peer) && canRelay(report));
    }
}
