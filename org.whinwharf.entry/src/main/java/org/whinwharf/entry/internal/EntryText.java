package org.whinwharf.entry.internal;

import org.whinwharf.text.Text;

/** Looks up the text that callers and operators read. */
final class EntryText {
    private static final String BUNDLE = "org.whinwharf.entry.Entry";

    private EntryText() {}

    static String get(String key, Object... arguments) {
        return Text.from(BUNDLE, key, arguments);
    }
}
