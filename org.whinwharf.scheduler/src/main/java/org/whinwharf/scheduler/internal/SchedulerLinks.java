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
 * Links of the scheduler to entry processes and other schedulers.
 *
 * <p>Network threads call the listener methods, which only offer events to the ring. All other methods are confined to
 * the duty that makes decisions. Two schedulers may be connected by two links, one opened by each; a process counts as
 * disconnected when its last link is closed.
 */
public final class SchedulerLinks implements PeerListener {
    private final EventRing ring;
    private final Queue<PeerLink> pendingLinkLosses = new ConcurrentLinkedQueue<>();
    private final Map<ProcessId, List<PeerLink>> entries = new HashMap<>();
    private final Map<ProcessId, List<PeerLink>> schedulers = new HashMap<>();

    /**
     * Creates the links.
     *
     * @param ring ring of the duty that makes decisions
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
            // If this event were dropped, the slots of a failed home would stay taken for ever. The next tick handles
            // the losses in this queue.
            pendingLinkLosses.add(link);
        }
    }

    // A dropped frame, such as the end of a request, would leave its slot taken for ever. After the link is closed,
    // the other side connects again and reports its requests in flight.
    private void offer(PeerLink link, Consumer<SchedulerLoop> event) {
        if (!ring.offer(event)) {
            link.close("event ring is full");
        }
    }

    Optional<PeerLink> pollPendingLinkLoss() {
        return Optional.ofNullable(pendingLinkLosses.poll());
    }

    /** Adds a link; returns true when it is the first link of its process. */
    boolean add(PeerLink link) {
        List<PeerLink> links = of(link.peer()).computeIfAbsent(id(link), key -> new ArrayList<>());
        links.add(link);
        return links.size() == 1;
    }

    /** Removes a link; returns true when it was the last link of its process. */
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
     * Sends a frame to an entry process. A link that does not accept the frame is closed, because a lost grant would
     * keep its slot taken.
     */
    void toEntry(ProcessId home, Frame frame) {
        List<PeerLink> links = entries.getOrDefault(home, List.of());
        if (!links.isEmpty() && !links.get(links.size() - 1).send(frame)) {
            links.get(links.size() - 1).close("too slow for grants");
        }
    }

    /**
     * Sends a frame to the scheduler of a host. A lost frame does no harm, because pledges and floors are sent
     * repeatedly.
     */
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
