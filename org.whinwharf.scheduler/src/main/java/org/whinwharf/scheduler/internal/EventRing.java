package org.whinwharf.scheduler.internal;

import java.util.function.Consumer;

/** Entry to the ring buffer of the duty that makes decisions. */
@FunctionalInterface
public interface EventRing {
    /**
     * Offers an event to the ring.
     *
     * @param event operation to perform on the loop
     * @return false when the ring is full and the event is dropped
     */
    boolean offer(Consumer<SchedulerLoop> event);
}
