package org.whinwharf.traffic.placement;

import java.util.Collection;
import java.util.function.Function;
import java.util.function.Supplier;
import org.whinwharf.traffic.target.Target;

/**
 * Gives each cold target to the few processes that rendezvous hashing names.
 *
 * <p>Processes may hold different lists of members for a second or two. The share is cut so that one process more than
 * intended still keeps the sum within what the target bears.
 */
public final class RendezvousColdShares implements ColdShares {
    /** Processes that send to one cold target; more would get less than one request a second each. */
    private static final int MAX_SENDERS = 3;

    private final String localName;
    private final Supplier<Collection<String>> memberNames;
    private final Function<Target, Double> requestsPerSecond;

    /**
     * Creates the shares.
     *
     * @param ownName name of this process
     * @param memberNames names of all processes that serve, this one included
     * @param requestsPerSecond what a cold target bears from all processes together
     */
    public RendezvousColdShares(
            String ownName, Supplier<Collection<String>> memberNames, Function<Target, Double> requestsPerSecond) {
        this.localName = ownName;
        this.memberNames = memberNames;
        this.requestsPerSecond = requestsPerSecond;
    }

    @Override
    public int allowance(Target target) {
        Collection<String> names = memberNames.get();
        long own = Rendezvous.weight(localName, target.id());
        long ahead = names.stream()
                .filter(name -> !name.equals(localName) && Rendezvous.weight(name, target.id()) > own)
                .count();
        if (ahead >= MAX_SENDERS) {
            return 0;
        }
        double bears = requestsPerSecond.apply(target);
        return (int) Math.floor(bears / (MAX_SENDERS + 1) + 0.5);
    }
}
