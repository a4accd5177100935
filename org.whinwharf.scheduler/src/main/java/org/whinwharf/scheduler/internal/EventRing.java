package org.whinwharf.scheduler.internal;

import java.util.function.Consumer;

/** Way into the ring of the duty that decides. */
@FunctionalInterface
public interface EventRing {
    /**
     * Puts an event into the ring.
     *
     * @param event what to do with the loop
     * @return false when the ring is full
     */
    boolean offer(Consumer<SchedulerLoop> event);
}
