package org.whinwharf.pgm.internal.diff;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.PgmText;

/** Gathers changes of one area after the other. */
final class Changes {
    private final List<Change> all = new ArrayList<>();

    /** Adds a change that is nothing to worry about. */
    void plain(String area, String key, Object... arguments) {
        all.add(new Change(area, PgmText.get(key, arguments), false));
    }

    /** Adds a change that may hurt callers. */
    void risky(String area, String key, Object... arguments) {
        all.add(new Change(area, PgmText.get(key, arguments), true));
    }

    List<Change> all() {
        return List.copyOf(all);
    }
}
