package org.whinwharf.pgm.internal;

import java.util.Locale;
import java.util.ResourceBundle;
import org.whinwharf.text.Text;

/** Looks up what the commands print. */
public final class PgmText {
    private static final String BUNDLE = "org.whinwharf.pgm.Pgm";

    private PgmText() {}

    /**
     * Formats a text.
     *
     * @param key key of the text
     * @param arguments values for its places
     * @return the text
     * @throws java.util.MissingResourceException when there is no such key
     */
    public static String get(String key, Object... arguments) {
        return Text.from(BUNDLE, key, arguments);
    }

    /**
     * Tells whether there is a text.
     *
     * @param key key of the text
     * @return true when there is
     */
    public static boolean has(String key) {
        return ResourceBundle.getBundle(BUNDLE, Locale.ROOT).containsKey(key);
    }
}
