package org.whinwharf.text;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up the text that people read. */
public final class Text {
    private static final ResourceBundle BUNDLE = ResourceBundle.getBundle("org.whinwharf.text.Text", Locale.ROOT);

    private Text() {}

    /**
     * Formats a text of the bundle.
     *
     * @param key key of the text
     * @param arguments values for its places, as {@link MessageFormat} numbers them
     * @return the text
     * @throws java.util.MissingResourceException when the bundle has no such key
     */
    public static String get(String key, Object... arguments) {
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(arguments);
    }
}
