package org.whinwharf.schema;

import com.google.protobuf.Message;
import java.util.List;
import org.whinwharf.schema.internal.Fallbacks;
import org.whinwharf.schema.internal.FaultCollector;
import org.whinwharf.schema.internal.MessageWalk;

/** Checks messages that did not come as JSON, such as the compact form of a document. */
public final class SchemaChecker {
    private SchemaChecker() {}

    /**
     * Puts the fallback of every field in place that is certainly absent.
     *
     * <p>The binary form does not tell an absent number from a zero. A zero counts as absent only where the field does
     * not allow it, so that a zero that was meant stays.
     *
     * @param message message as parsed
     * @param <M> type of the message
     * @return message with fallbacks
     */
    public static <M extends Message> M complete(M message) {
        Message.Builder builder = message.toBuilder();
        Fallbacks.complete(builder);
        @SuppressWarnings("unchecked")
        M complete = (M) builder.build();
        return complete;
    }

    /**
     * Checks a message against the rules of the schema.
     *
     * @param message message with fallbacks in place
     * @param fileName name that the faults carry
     * @return faults in the order of the fields, without lines; empty when there is none
     */
    public static List<Fault> check(Message message, String fileName) {
        FaultCollector faults = new FaultCollector(fileName);
        MessageWalk.check(message, faults);
        return faults.all();
    }
}
