package org.whinwharf.entry.internal;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerNetwork;
import org.whinwharf.wire.schema.Host;

/** Links to the schedulers that own slices, or are next to own them. */
final class SchedulerLinks {
    private static final int CANDIDATES_LINKED = 2;
    private static final String HOLDER = "entry";

    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final Set<PeerAddress> wanted = new HashSet<>();

    void up(PeerLink link) {
        links.put(link.peer().getHost(), link);
    }

    /** Forgets a link; false when another link to the same host has taken its place. */
    boolean down(PeerLink link) {
        return links.remove(link.peer().getHost(), link);
    }

    void send(String owner, Frame frame) {
        PeerLink link = links.get(owner);
        if (link != null && !link.send(frame)) {
            // A frame that is silently lost leaves the owner with a slot that never comes free. Both sides start over
            // on a fresh link, where the home says what is in flight.
            link.close("queue full");
        }
    }

    /** Connects to the hosts that matter under a membership, and no more to others. One thread calls this. */
    void follow(Membership membership, PeerNetwork network) {
        Set<PeerAddress> next = new HashSet<>();
        for (SliceId slice : membership.slices()) {
            membership.candidates(slice).stream()
                    .limit(CANDIDATES_LINKED)
                    .map(SchedulerLinks::address)
                    .forEach(next::add);
        }
        next.stream().filter(peer -> !wanted.contains(peer)).forEach(peer -> network.connect(peer, HOLDER));
        wanted.stream().filter(peer -> !next.contains(peer)).forEach(peer -> network.disconnect(peer, HOLDER));
        wanted.clear();
        wanted.addAll(next);
    }

    private static PeerAddress address(Host host) {
        return new PeerAddress(
                host.getName(),
                Role.SCHEDULER,
                host.getAddress(),
                host.getEntry().getSchedulerPeer());
    }
}
