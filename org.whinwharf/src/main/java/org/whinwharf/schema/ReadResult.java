package org.whinwharf.schema;

import com.google.protobuf.Message;
import java.util.List;

/**
 * Outcome of reading a message: the message, or everything that is wrong with it.
 *
 * @param <M> type of the message
 */
public sealed interface ReadResult<M extends Message> {
    /**
     * The message, with the fallback of every absent field in place.
     *
     * @param value the message
     * @param <M> type of the message
     */
    record Valid<M extends Message>(M value) implements ReadResult<M> {}

    /**
     * All faults that were found.
     *
     * @param faults faults in the order of their places; at least one
     * @param <M> type of the message that was asked for
     */
    record Invalid<M extends Message>(List<Fault> faults) implements ReadResult<M> {
        /**
         * Copies the list.
         *
         * @param faults faults in the order of their places
         */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
