package org.whinwharf.text;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up human-readable text in resource bundles. */
public final class Text {
    private static final String MAIN_BUNDLE = "org.whinwharf.text.Text";

    private Text() {}

    /**
     * Formats a text of the main bundle.
     *
     * @param key key of the text
     * @param arguments values for the placeholders, numbered as in {@link MessageFormat}
     * @return the formatted text
     * @throws java.util.MissingResourceException when the bundle has no such key
     */
    public static String get(String key, Object... arguments) {
        return from(MAIN_BUNDLE, key, arguments);
    }

    /**
     * Formats a text of the bundle of a package.
     *
     * @param bundle base name of the bundle, such as {@code org.whinwharf.schema.Faults}
     * @param key key of the text
     * @param arguments values for the placeholders, numbered as in {@link MessageFormat}
     * @return the formatted text
     * @throws java.util.MissingResourceException when there is no such bundle or it has no such key
     */
    public static String from(String bundle, String key, Object... arguments) {
        ResourceBundle texts = ResourceBundle.getBundle(bundle, Locale.ROOT);
        return new MessageFormat(texts.getString(key), Locale.ROOT).format(arguments);
    }
}
