package org.whinwharf.home;

import org.whinwharf.text.Text;

/** Looks up the text in which a home explains itself to people. */
final class HomeText {
    private static final String BUNDLE = "org.whinwharf.home.Home";

    private HomeText() {}

    static String get(String key, Object... arguments) {
        return Text.from(BUNDLE, key, arguments);
    }
}
