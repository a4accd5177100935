package org.whinwharf.front;

import java.util.Locale;

/** Who knew at which version a stream began that a caller resumes. */
enum OriginSource {
    /** This process. */
    OWN,
    /** Another process. */
    PEER,
    /** A target that still reports the stream's run. */
    TARGET,
    /** Nobody, but there was one version only. */
    ONLY_VERSION;

    /** Returns the value of the log field: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
