package org.whinwharf.owner;

import org.whinwharf.membership.Membership;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.TargetLoad;

/** What can happen to a scheduler. */
public sealed interface SchedulerEvent {
    /**
     * A frame came from an entry process.
     *
     * @param home the process
     * @param frame the frame
     */
    record EntryFrame(ProcessId home, Frame frame) implements SchedulerEvent {}

    /**
     * The link to an entry process is gone.
     *
     * @param home the process
     */
    record EntryDisconnected(ProcessId home) implements SchedulerEvent {}

    /**
     * A link to another scheduler is up.
     *
     * @param scheduler the process
     */
    record PeerConnected(ProcessId scheduler) implements SchedulerEvent {}

    /**
     * A frame came from another scheduler.
     *
     * @param scheduler the process
     * @param frame the frame
     */
    record PeerFrame(ProcessId scheduler, Frame frame) implements SchedulerEvent {}

    /**
     * The link to another scheduler is gone.
     *
     * @param scheduler the process
     */
    record PeerDisconnected(ProcessId scheduler) implements SchedulerEvent {}

    /**
     * A new host list or document is in force.
     *
     * @param membership view of both
     * @param configuration what the document says
     */
    record ConfigurationChanged(Membership membership, SchedulerConfiguration configuration)
            implements SchedulerEvent {}

    /**
     * A target's load was read.
     *
     * @param target name of the target
     * @param load its answer
     * @param requestedAtMillis when it was asked
     */
    record LoadReceived(String target, TargetLoad load, long requestedAtMillis) implements SchedulerEvent {}

    /**
     * A target's load could not be read.
     *
     * @param target name of the target
     */
    record LoadRequestFailed(String target) implements SchedulerEvent {}

    /**
     * Cache events of a target were read.
     *
     * @param target name of the target
     * @param events its answer
     */
    record CacheEventsReceived(String target, CacheEvents events) implements SchedulerEvent {}

    /** Time passes. */
    record Tick() implements SchedulerEvent {}

    /** A planned stop begins. */
    record Leave() implements SchedulerEvent {}
}
