package org.whinwharf.wire.peer.internal;

import java.util.function.Supplier;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.peer.PeerListener;

/**
 * What all links of one network share.
 *
 * @param self what this process says of itself
 * @param limits limits of each link
 * @param filter who may be a peer
 * @param listener who is told of links and frames
 * @param heartbeats makes the next heartbeat
 * @param counters counters of the network
 */
public record LinkContext(
        Hello self,
        LinkLimits limits,
        PeerFilter filter,
        PeerListener listener,
        Supplier<Heartbeat> heartbeats,
        LinkCounters counters) {}
