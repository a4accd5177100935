package org.whinwharf.runtime.node.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;

/** Admits processes of the hosts that the published list says run whinwharf; nobody before the list was read. */
public final class ListedPeers implements PeerFilter {
    private volatile Map<String, String> addressByHost = Map.of();
    private volatile Set<String> addresses = Set.of();

    /**
     * Takes another host list.
     *
     * @param list the list
     */
    public void update(HostList list) {
        Map<String, String> listed = new HashMap<>();
        for (Host host : list.getHostsList()) {
            if (host.hasEntry()) {
                listed.put(host.getName(), host.getAddress());
            }
        }
        addressByHost = Map.copyOf(listed);
        addresses = Set.copyOf(listed.values());
    }

    @Override
    public boolean admitsAddress(String address) {
        return addresses.contains(address);
    }

    @Override
    public boolean admits(Hello hello, String address) {
        boolean roleKnown = hello.getRole() != Role.UNRECOGNIZED && hello.getRole() != Role.ROLE_UNSPECIFIED;
        return roleKnown && address.equals(addressByHost.get(hello.getHost()));
    }
}
