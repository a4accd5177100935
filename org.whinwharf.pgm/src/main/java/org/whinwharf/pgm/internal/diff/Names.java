package org.whinwharf.pgm.internal.diff;

import java.util.List;
import org.whinwharf.pgm.internal.PgmText;

/** Shortens lists of names for people. */
final class Names {
    private static final int SHOWN = 8;

    private Names() {}

    /** Lists names; of many only the first ones and the number of the rest. */
    static String list(List<String> names) {
        if (names.size() <= SHOWN) {
            return String.join(", ", names);
        }
        String first = String.join(", ", names.subList(0, SHOWN));
        return PgmText.get("names.more", first, names.size() - SHOWN);
    }
}
