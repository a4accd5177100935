package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class LogTimestampsTest {
    /** Guards against a text that differs from the library's, at and around the change of the second. */
    @Test
    void equalsTheTextOfTheLibrary() {
        long secondMillis = 1_790_000_000_000L;
        for (long unixMillis = secondMillis - 1_100; unixMillis <= secondMillis + 1_100; unixMillis++) {
            assertThat(append(unixMillis), is(Instant.ofEpochMilli(unixMillis).toString()));
        }
        assertThat(append(-1), is(Instant.ofEpochMilli(-1).toString()));
    }

    private static String append(long unixMillis) {
        StringBuilder line = new StringBuilder();
        LogTimestamps.append(line, unixMillis);
        return line.toString();
    }
}
