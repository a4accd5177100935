package org.whinwharf.runtime.duty;

/**
 * Work of a duty. All calls come from the duty's own thread.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {
    /**
     * Handles one event.
     *
     * @param event the event
     */
    void handle(E event);

    /** Handles the passing of time; called between events about every tick of the duty. */
    default void tick() {}
}
