package org.whinwharf.runtime;

import org.whinwharf.text.Text;

/** Looks up the text that daemons show to people. */
public final class RuntimeText {
    private static final String BUNDLE = "org.whinwharf.runtime.Runtime";

    private RuntimeText() {}

    /**
     * Formats a text.
     *
     * @param key key of the text
     * @param arguments values for its places
     * @return the text
     * @throws java.util.MissingResourceException when the bundle has no such key
     */
    public static String get(String key, Object... arguments) {
        return Text.from(BUNDLE, key, arguments);
    }
}
