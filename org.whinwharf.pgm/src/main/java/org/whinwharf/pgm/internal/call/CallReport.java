package org.whinwharf.pgm.internal.call;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.errors.Ran;
import org.whinwharf.pgm.OperatorExit;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;

/**
 * What came of a request.
 *
 * @param requestId id of the request; empty when none was given
 * @param target target that worked on it; empty when it was not sent
 * @param text the answer; empty in a stream that was shown as it came
 * @param tokens tokens of the answer
 * @param resumed how often the stream broke and was resumed
 * @param firstTokenMillis time to the first token; 0 for an answer that was not streamed
 * @param totalMillis time to the end
 * @param error name of the error kind; empty for a whole answer
 * @param ran ran, not-run or unknown; empty for a whole answer
 * @param detail what exactly was wrong
 * @param comeBackMillis when to come back; 0 when that is of no use
 */
public record CallReport(
        String requestId,
        String target,
        String text,
        int tokens,
        int resumed,
        long firstTokenMillis,
        long totalMillis,
        String error,
        String ran,
        String detail,
        long comeBackMillis)
        implements Report {

    /**
     * Returns the exit code.
     *
     * @return exit code of the command
     */
    @JsonIgnore
    public OperatorExit exit() {
        if (error.isEmpty()) {
            return OperatorExit.OK;
        }
        return ran.equals(Ran.UNKNOWN.wireName()) ? OperatorExit.UNKNOWN_OUTCOME : OperatorExit.REFUSED;
    }

    @Override
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        if (!text.isEmpty()) {
            lines.add(text);
        }
        if (!error.isEmpty()) {
            lines.add(PgmText.get("call.error", error, ran, detail));
            if (comeBackMillis > 0) {
                lines.add(PgmText.get("call.come-back", Long.toString(comeBackMillis)));
            }
        }
        lines.add(PgmText.get(
                "call.summary",
                requestId.isEmpty() ? "-" : requestId,
                target.isEmpty() ? "-" : target,
                tokens,
                Long.toString(firstTokenMillis),
                Long.toString(totalMillis),
                resumed));
        return lines;
    }
}
