package org.whinwharf.home;

import org.whinwharf.text.Text;

/** Looks up the human-readable texts of a home in {@code Home.properties}. */
final class HomeText {
    private static final String BUNDLE = "org.whinwharf.home.Home";

    private HomeText() {}

    static String get(String key, Object... arguments) {
        return Text.from(BUNDLE, key, arguments);
    }
}
