package org.whinwharf.entry.internal;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.caller.Addresses;
import org.whinwharf.wire.caller.EntryAddress;
import org.whinwharf.wire.schema.Host;

/** Tells callers which hosts to use, and hands them tickets of this home. */
final class AddressBook {
    private final Node node;
    private final SecureRandom random = new SecureRandom();

    AddressBook(Node node) {
        this.node = node;
    }

    Addresses addresses(DocumentView document, String organisation) {
        return Addresses.newBuilder()
                .addAllAddresses(others(""))
                .setGoodMillis(document.timing().getAddressesGoodMillis())
                .setTicket(ticket(document, organisation))
                .setTicketMillis(document.timing().getTicketMillis())
                .setHome(node.settings().getHost())
                .build();
    }

    /** Tells whether this host takes new requests, so that tickets of it are of use. */
    boolean isHome() {
        boolean inService = node.membership()
                .map(membership -> membership.isInService(node.settings().getDataCentre()))
                .orElse(false);
        return inService && !node.isLeaving();
    }

    /** Returns live hosts of data centres in service without this one. */
    List<EntryAddress> elsewhere() {
        return others(node.settings().getHost());
    }

    /**
     * Returns live hosts of data centres in service but one, those of the own data centre first, each group shuffled.
     */
    List<EntryAddress> others(String left) {
        Optional<Membership> membership = node.membership();
        if (membership.isEmpty()) {
            return List.of();
        }
        List<Host> hosts = new ArrayList<>(membership.get().entryHosts());
        Collections.shuffle(hosts, random);
        hosts.removeIf(host -> host.getName().equals(left) || !membership.get().isInService(host.getDataCentre()));
        hosts.sort((one, other) -> Boolean.compare(isFar(one), isFar(other)));
        return hosts.stream().map(AddressBook::address).toList();
    }

    /** Returns the address of one host, whether live or leaving. */
    List<EntryAddress> of(String host) {
        return node.membership()
                .flatMap(membership -> membership.host(host))
                .filter(Host::hasEntry)
                .map(found -> List.of(address(found)))
                .orElse(List.of());
    }

    private boolean isFar(Host host) {
        return !host.getDataCentre().equals(node.settings().getDataCentre());
    }

    private String ticket(DocumentView document, String organisation) {
        long expiresAtMillis = node.ticker().nowMillis() + document.timing().getTicketMillis();
        Ticket ticket = new Ticket(
                node.settings().getHost(),
                node.incarnation(),
                random.nextLong(),
                random.nextLong(),
                organisation,
                expiresAtMillis);
        return ticket.seal(new SealingKeys(document.sealingKeys()));
    }

    private static EntryAddress address(Host host) {
        return EntryAddress.newBuilder()
                .setHost(host.getName())
                .setAddress(host.getAddress())
                .setPort(host.getEntry().getCaller())
                .setDataCentre(host.getDataCentre())
                .build();
    }
}
