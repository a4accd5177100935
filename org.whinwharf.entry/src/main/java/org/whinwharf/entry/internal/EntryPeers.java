package org.whinwharf.entry.internal;

import org.whinwharf.home.HomeEvent;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;

/** Hands what other processes say to the home and to the relays. */
final class EntryPeers implements PeerListener {
    private final HomeDuty home;
    private final SchedulerLinks schedulers;
    private final RelayServer relayServer;
    private final RelayClient relayClient;

    EntryPeers(HomeDuty home, SchedulerLinks schedulers, RelayServer relayServer, RelayClient relayClient) {
        this.home = home;
        this.schedulers = schedulers;
        this.relayServer = relayServer;
        this.relayClient = relayClient;
    }

    @Override
    public void linkUp(PeerLink link) {
        if (link.peer().getRole() == Role.SCHEDULER) {
            schedulers.up(link);
            home.put(new HomeEvent.OwnerConnected(link.peer().getHost()));
        } else if (link.peer().getRole() == Role.ENTRY) {
            relayClient.linkUp(link);
        }
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        String host = link.peer().getHost();
        if (link.peer().getRole() == Role.SCHEDULER) {
            fromScheduler(host, frame);
        } else if (link.peer().getRole() == Role.ENTRY) {
            fromEntry(link, frame);
        }
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        if (link.peer().getRole() == Role.SCHEDULER && schedulers.down(link)) {
            home.put(new HomeEvent.OwnerDisconnected(link.peer().getHost()));
        } else if (link.peer().getRole() == Role.ENTRY) {
            relayClient.linkDown(link);
            relayServer.linkDown(link);
        }
    }

    private void fromScheduler(String host, Frame frame) {
        switch (frame.getBodyCase()) {
            case GRANT -> home.put(new HomeEvent.Granted(host, frame.getGrant()));
            case REFUSAL -> home.put(new HomeEvent.Refused(host, frame.getRefusal()));
            case RECALL -> home.put(new HomeEvent.Recalled(host, frame.getRecall()));
            case SLICE_STATUS -> home.tryPut(new HomeEvent.StatusReceived(frame.getSliceStatus()));
            default -> {
                // Heartbeats and documents are the node's.
            }
        }
    }

    private void fromEntry(PeerLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case RELAY_SUBMIT -> relayServer.submit(link, frame.getRelaySubmit());
            case RELAY_LOOKUP -> relayServer.lookup(link, frame.getRelayLookup());
            case RELAY_CANCEL -> relayServer.cancel(link, frame.getRelayCancel());
            case RELAY_ANSWER -> relayClient.answer(frame.getRelayAnswer());
            default -> {
                // Heartbeats and documents are the node's.
            }
        }
    }
}
