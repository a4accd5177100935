package org.whinwharf.pgm.internal.diff;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;

/**
 * Differences between two documents.
 *
 * @param changes all of them
 */
public record ChangesReport(List<Change> changes) implements Report {
    /**
     * Copies the list.
     *
     * @param changes all differences
     */
    public ChangesReport {
        changes = List.copyOf(changes);
    }

    /**
     * Tells whether any change is risky.
     *
     * @return true when operators should look twice
     */
    public boolean isRisky() {
        return changes.stream().anyMatch(Change::risky);
    }

    @Override
    public List<String> lines() {
        if (changes.isEmpty()) {
            return List.of(PgmText.get("diff.same"));
        }
        List<String> lines = new ArrayList<>();
        for (Change change : changes) {
            String key = change.risky() ? "diff.line.risky" : "diff.line.plain";
            lines.add(PgmText.get(key, change.text()));
        }
        return lines;
    }
}
