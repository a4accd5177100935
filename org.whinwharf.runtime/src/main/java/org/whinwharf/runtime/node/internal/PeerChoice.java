package org.whinwharf.runtime.node.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.schema.Host;

/**
 * Chooses a few processes of the fleet that a process keeps links to, so that documents spread without the platform.
 *
 * <p>Rendezvous hashing over all other processes: each process gets others, and a changed host list changes few links.
 */
public final class PeerChoice {
    /** Links that each process makes. */
    public static final int LINKS = 4;

    private PeerChoice() {}

    /**
     * Chooses peers.
     *
     * @param hosts hosts that run whinwharf
     * @param self name of this process, see {@link #name}
     * @return at most {@link #LINKS} processes other than this one
     */
    public static List<PeerAddress> choose(List<Host> hosts, String self) {
        List<PeerAddress> all = new ArrayList<>();
        hosts.forEach(host -> addProcesses(host, all));
        return all.stream()
                .filter(peer -> !name(peer.host(), peer.role()).equals(self))
                .sorted(Comparator.comparingLong((PeerAddress peer) -> score(self, peer))
                        .thenComparing(PeerAddress::host))
                .limit(LINKS)
                .toList();
    }

    /**
     * Names a process.
     *
     * @param host its host
     * @param role its role
     * @return name that no other process has
     */
    public static String name(String host, Role role) {
        return host + "/" + role;
    }

    private static void addProcesses(Host host, List<PeerAddress> all) {
        add(host, Role.ENTRY, host.getEntry().getEntryPeer(), all);
        add(host, Role.SCHEDULER, host.getEntry().getSchedulerPeer(), all);
        add(host, Role.STEWARD, host.getEntry().getStewardPeer(), all);
    }

    private static void add(Host host, Role role, int port, List<PeerAddress> all) {
        if (port > 0) {
            all.add(new PeerAddress(host.getName(), role, host.getAddress(), port));
        }
    }

    private static long score(String self, PeerAddress peer) {
        String key = self + ">" + name(peer.host(), peer.role());
        return Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
    }
}
