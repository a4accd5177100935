package org.whinwharf.order;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.schema.Host;

/** Selects the steward of each target from the host list alone, so that hosts need no agreement. */
public final class StewardSelector {
    private StewardSelector() {}

    /**
     * Selects the steward of a target by rendezvous hashing over the live hosts that run a steward. Hosts in the
     * target's data centre are preferred.
     *
     * @param target host entry of the target
     * @param membership view of the host list
     * @return host of the steward; empty when no live host runs a steward
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
