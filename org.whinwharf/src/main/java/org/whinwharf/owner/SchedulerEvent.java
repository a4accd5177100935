package org.whinwharf.owner;

import org.whinwharf.membership.Membership;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.TargetLoad;

/** Event that {@link SchedulerCore} handles. */
public sealed interface SchedulerEvent {
    /**
     * A frame was received from an entry process.
     *
     * @param home the entry process
     * @param frame received frame
     */
    record EntryFrame(ProcessId home, Frame frame) implements SchedulerEvent {}

    /**
     * The last link to an entry process was closed.
     *
     * @param home the entry process
     */
    record EntryDisconnected(ProcessId home) implements SchedulerEvent {}

    /**
     * The first link to another scheduler was opened.
     *
     * @param scheduler the other scheduler
     */
    record PeerConnected(ProcessId scheduler) implements SchedulerEvent {}

    /**
     * A frame was received from another scheduler.
     *
     * @param scheduler the other scheduler
     * @param frame received frame
     */
    record PeerFrame(ProcessId scheduler, Frame frame) implements SchedulerEvent {}

    /**
     * The last link to another scheduler was closed.
     *
     * @param scheduler the other scheduler
     */
    record PeerDisconnected(ProcessId scheduler) implements SchedulerEvent {}

    /**
     * A new host list or document is in effect.
     *
     * @param membership membership that results from both
     * @param configuration scheduler settings from the document
     */
    record ConfigurationChanged(Membership membership, SchedulerConfiguration configuration)
            implements SchedulerEvent {}

    /**
     * A target's load was received.
     *
     * @param target name of the target
     * @param load response of the target
     * @param requestedAtMillis time at which the load was requested
     */
    record LoadReceived(String target, TargetLoad load, long requestedAtMillis) implements SchedulerEvent {}

    /**
     * A target's load could not be read.
     *
     * @param target name of the target
     */
    record LoadRequestFailed(String target) implements SchedulerEvent {}

    /**
     * Cache events of a target were received.
     *
     * @param target name of the target
     * @param events response of the target
     */
    record CacheEventsReceived(String target, CacheEvents events) implements SchedulerEvent {}

    /** Periodic tick. */
    record Tick() implements SchedulerEvent {}

    /** A planned stop begins. */
    record Leave() implements SchedulerEvent {}
}
