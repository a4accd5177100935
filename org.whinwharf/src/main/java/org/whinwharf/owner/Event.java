package org.whinwharf.owner;

import org.whinwharf.membership.Membership;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.TargetLoad;

/** What can happen to a scheduler. */
public sealed interface Event {
    /**
     * A frame came from an entry process.
     *
     * @param home the process
     * @param frame the frame
     */
    record FromEntry(HomeId home, Frame frame) implements Event {}

    /**
     * The link to an entry process is gone.
     *
     * @param home the process
     */
    record EntryLost(HomeId home) implements Event {}

    /**
     * A link to another scheduler is up.
     *
     * @param scheduler the process
     */
    record PeerUp(HomeId scheduler) implements Event {}

    /**
     * A frame came from another scheduler.
     *
     * @param scheduler the process
     * @param frame the frame
     */
    record FromPeer(HomeId scheduler, Frame frame) implements Event {}

    /**
     * The link to another scheduler is gone.
     *
     * @param scheduler the process
     */
    record PeerLost(HomeId scheduler) implements Event {}

    /**
     * A new host list or document is in force.
     *
     * @param membership view of both
     * @param rules what the document says
     */
    record Viewed(Membership membership, Rules rules) implements Event {}

    /**
     * A target's load was read.
     *
     * @param target name of the target
     * @param load its answer
     * @param askedAtMillis when it was asked
     */
    record LoadRead(String target, TargetLoad load, long askedAtMillis) implements Event {}

    /**
     * A target's load could not be read.
     *
     * @param target name of the target
     */
    record LoadFailed(String target) implements Event {}

    /**
     * Cache events of a target were read.
     *
     * @param target name of the target
     * @param events its answer
     */
    record CacheRead(String target, CacheEvents events) implements Event {}

    /** Time passes. */
    record Tick() implements Event {}

    /** A planned stop begins. */
    record Leave() implements Event {}
}
