package org.whinwharf.schema;

import com.google.protobuf.Message;
import java.util.List;
import org.whinwharf.schema.internal.FaultCollector;
import org.whinwharf.schema.internal.JsonMessageReader;

/** Reads JSON with comments into a message of the schema and checks it against the rules of the schema. */
public final class SchemaReader {
    private SchemaReader() {}

    /**
     * Reads a message.
     *
     * <p>Field names are those of protobuf's JSON form. All faults are found together, except that nothing behind a
     * syntax error is read.
     *
     * @param json the text
     * @param fileName name that the faults carry
     * @param prototype any instance of the message to read
     * @param <M> type of the message
     * @return the message with fallbacks in place, or the faults
     */
    public static <M extends Message> ReadResult<M> read(String json, String fileName, M prototype) {
        FaultCollector faults = new FaultCollector(fileName);
        Message.Builder builder = prototype.newBuilderForType();
        JsonMessageReader.read(json, builder, faults);
        List<Fault> found = faults.all();
        if (!found.isEmpty()) {
            return new ReadResult.Invalid<>(found);
        }
        @SuppressWarnings("unchecked")
        M message = (M) builder.build();
        return new ReadResult.Valid<>(message);
    }
}
