package org.whinwharf.traffic.placement;

import java.util.Collection;
import java.util.function.Function;
import java.util.function.Supplier;
import org.whinwharf.traffic.target.Target;

/**
 * Assigns each cold target to a few processes by rendezvous hashing.
 *
 * <p>The membership views of processes may differ for one or two seconds. The share is reduced so that the total stays
 * within the capacity of the target if one extra process sends.
 */
public final class RendezvousColdShares implements ColdShares {
    /**
     * Maximum number of processes that send to a cold target; with more, each gets less than one request per second.
     */
    private static final int MAX_SENDERS = 3;

    private final String localName;
    private final Supplier<Collection<String>> memberNames;
    private final Function<Target, Double> requestsPerSecond;

    /**
     * Creates the shares of this process.
     *
     * @param localName name of this process
     * @param memberNames names of all serving processes, including this one
     * @param requestsPerSecond capacity of a cold target, for all processes together
     */
    public RendezvousColdShares(
            String localName, Supplier<Collection<String>> memberNames, Function<Target, Double> requestsPerSecond) {
        this.localName = localName;
        this.memberNames = memberNames;
        this.requestsPerSecond = requestsPerSecond;
    }

    @Override
    public int allowance(Target target) {
        Collection<String> names = memberNames.get();
        long localWeight = Rendezvous.weight(localName, target.id());
        long rankedHigher = names.stream()
                .filter(name -> !name.equals(localName) && Rendezvous.weight(name, target.id()) > localWeight)
                .count();
        if (rankedHigher >= MAX_SENDERS) {
            return 0;
        }
        double capacity = requestsPerSecond.apply(target);
        return (int) Math.floor(capacity / (MAX_SENDERS + 1) + 0.5);
    }
}
