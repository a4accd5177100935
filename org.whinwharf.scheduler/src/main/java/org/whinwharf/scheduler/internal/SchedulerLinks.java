package org.whinwharf.scheduler.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;

/**
 * Links of the scheduler.
 *
 * <p>The listener's calls come from network threads and only fill the ring; everything else belongs to the duty that
 * decides. Two schedulers may be joined by two links, one from each side; a process is lost when its last link is.
 */
public final class SchedulerLinks implements PeerListener {
    private final EventRing ring;
    private final Queue<PeerLink> pendingLinkLosses = new ConcurrentLinkedQueue<>();
    private final Map<ProcessId, List<PeerLink>> entries = new HashMap<>();
    private final Map<ProcessId, List<PeerLink>> schedulers = new HashMap<>();

    /**
     * Creates the links.
     *
     * @param ring ring of the duty that decides
     */
    public SchedulerLinks(EventRing ring) {
        this.ring = ring;
    }

    @Override
    public void linkUp(PeerLink link) {
        offer(link, loop -> loop.linkUp(link));
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        offer(link, loop -> loop.received(link, frame));
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        if (!ring.offer(loop -> loop.linkDown(link))) {
            // Were the loss itself lost, the slots of a dead home would stay taken for ever; the next tick looks here.
            pendingLinkLosses.add(link);
        }
    }

    // A frame that is dropped, such as the end of a request, would leave its slot taken for ever. Closing the link
    // makes
    // the other side say anew what it has in flight.
    private void offer(PeerLink link, Consumer<SchedulerLoop> event) {
        if (!ring.offer(event)) {
            link.close("decisions are too slow");
        }
    }

    Optional<PeerLink> pollPendingLinkLoss() {
        return Optional.ofNullable(pendingLinkLosses.poll());
    }

    /** Adds a link; returns true when it is the first one of its process. */
    boolean add(PeerLink link) {
        List<PeerLink> links = of(link.peer()).computeIfAbsent(id(link), key -> new ArrayList<>());
        links.add(link);
        return links.size() == 1;
    }

    /** Removes a link; returns true when it was the last one of its process. */
    boolean remove(PeerLink link) {
        List<PeerLink> links = of(link.peer()).get(id(link));
        if (links == null || !links.remove(link)) {
            return false;
        }
        if (links.isEmpty()) {
            of(link.peer()).remove(id(link));
            return true;
        }
        return false;
    }

    /**
     * Sends to an entry process; a link that cannot take the frame is closed, since a lost grant would hold its slot.
     */
    void toEntry(ProcessId home, Frame frame) {
        List<PeerLink> links = entries.getOrDefault(home, List.of());
        if (!links.isEmpty() && !links.get(links.size() - 1).send(frame)) {
            links.get(links.size() - 1).close("too slow for grants");
        }
    }

    /** Sends to the scheduler of a host; pledges and floors are repeated, so a frame that is lost does no harm. */
    void toScheduler(String host, Frame frame) {
        schedulers.forEach((id, links) -> {
            if (id.host().equals(host)) {
                links.get(links.size() - 1).send(frame);
            }
        });
    }

    static ProcessId id(PeerLink link) {
        Hello hello = link.peer();
        return new ProcessId(hello.getHost(), hello.getIncarnation());
    }

    private Map<ProcessId, List<PeerLink>> of(Hello hello) {
        return hello.getRole() == Role.ENTRY ? entries : schedulers;
    }
}
