package org.whinwharf.front;

import java.util.Locale;

/**
 * Whether a request whose run has failed or fallen silent is sent to another target, or why not. A silent run goes on
 * in either case.
 */
enum RetryDecision {
    /** It is sent to another target. */
    RETRY,
    /** The target may have executed it, and it must not be executed twice. */
    NOT_IDEMPOTENT,
    /** Its stream has started and cannot be continued at another target. */
    NOT_RESUMABLE,
    /** It was sent to as many targets as its route allows. */
    ATTEMPTS_EXHAUSTED,
    /** No other target can serve it. */
    NO_TARGET,
    /** Its deadline is too near. */
    DEADLINE,
    /** Too many targets have crashed under it. */
    QUARANTINED,
    /** The retry budget is used up. */
    BUDGET_EXHAUSTED;

    /** Returns the value of the metric's tag and of the log field: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
