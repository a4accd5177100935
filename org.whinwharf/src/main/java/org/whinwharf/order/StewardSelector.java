package org.whinwharf.order;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.schema.Host;

/** Chooses the steward of each target from the host list alone. */
public final class StewardSelector {
    private StewardSelector() {}

    /**
     * Chooses the steward of a target: a live host that runs a steward, in the target's data centre where there is one,
     * by rendezvous hashing.
     *
     * @param target the target
     * @param membership hosts
     * @return the steward's host; empty when no host runs one
     */
    public static Optional<Host> stewardOf(Host target, Membership membership) {
        return membership.entryHosts().stream()
                .filter(StewardSelector::runsSteward)
                .max(Comparator.comparing((Host host) -> host.getDataCentre().equals(target.getDataCentre()))
                        .thenComparingLong(host -> score(host, target))
                        .thenComparing(Host::getName));
    }

    private static boolean runsSteward(Host host) {
        return host.getEntry().getStewardPeer() > 0 || host.getEntry().getStewardAdmin() > 0;
    }

    private static long score(Host host, Host target) {
        String key = host.getName() + "/" + target.getName();
        return Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
    }
}
