package org.whinwharf.wire.peer.internal;

import java.util.function.Supplier;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.peer.PeerListener;

/**
 * State that all links of one network share.
 *
 * @param self hello that this process sends
 * @param limits limits of each link
 * @param filter decides which processes may be peers
 * @param listener receives link events and frames
 * @param heartbeats supplies the next heartbeat
 * @param counters counters of the network
 */
public record LinkContext(
        Hello self,
        LinkLimits limits,
        PeerFilter filter,
        PeerListener listener,
        Supplier<Heartbeat> heartbeats,
        LinkCounters counters) {}
