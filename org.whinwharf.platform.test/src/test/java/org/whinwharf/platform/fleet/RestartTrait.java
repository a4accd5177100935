package org.whinwharf.platform.fleet;

import java.util.Random;
import java.util.Set;

/** How workers restart under their id and address at another version, and what they say of themselves meanwhile. */
enum RestartTrait {
    /** The entry of a process that has restarted is written at its start. */
    PUBLISHED_AT_ONCE,
    /** The entry is written shortly after the start. */
    PUBLISHED_SOON,
    /** The entry is written up to several seconds after the start. */
    PUBLISHED_LATE,
    /** Workers answer requests for a report. */
    REPORTS,
    /** Workers write their entries again from time to time; those of silent workers lapse. */
    BEATS,
    /** The clocks of workers differ from those of fronts by several seconds. */
    SKEWED_CLOCKS,
    /** The workers are engines. */
    ENGINE,
    /** Workers are replaced one after the other by others with new ids at the other version; some releases stop. */
    RELEASES,
    /** All fronts but one are killed at once, and all of them some seconds later. */
    JOINT_KILLS,
    /** Entries of workers that serve on lapse and are written again. */
    LAPSES,
    /** Few workers restart and releases are some seconds apart, so that one version serves alone for a while. */
    SPARSE;

    private static final long SOON_MILLIS = 800;
    private static final int MIN_LATE_MILLIS = 500;
    private static final int MAX_LATE_MILLIS = 3_500;
    private static final int MAX_SKEW_MILLIS = 6_000;

    /** Tells whether workers are replaced by others, or fronts are killed jointly. */
    static boolean replacesWorkersOrFronts(Set<RestartTrait> traits) {
        return traits.contains(RELEASES) || traits.contains(JOINT_KILLS);
    }

    /** Draws the time from the start of a process to its first entry. */
    static long drawEntryDelayMillis(Set<RestartTrait> traits, Random random) {
        if (traits.contains(PUBLISHED_LATE)) {
            return MIN_LATE_MILLIS + random.nextInt(MAX_LATE_MILLIS - MIN_LATE_MILLIS);
        }
        return traits.contains(PUBLISHED_SOON) ? SOON_MILLIS : 0;
    }

    /** Draws how far the clock of a worker is ahead. */
    static long drawSkewMillis(Set<RestartTrait> traits, Random random) {
        return traits.contains(SKEWED_CLOCKS) ? random.nextInt(2 * MAX_SKEW_MILLIS) - MAX_SKEW_MILLIS : 0;
    }
}
