package org.whinwharf.traffic.policy;

import java.util.Set;
import org.immutables.value.Value;

/** Selects the mechanisms of the scheduling policy that are enabled. */
@Value.Immutable
public interface Policy {
    /** The policy with all mechanisms enabled. */
    Policy ALL_ENABLED = ImmutablePolicy.builder().build();

    /**
     * Returns the disabled mechanisms.
     *
     * @return mechanisms; empty in normal operation
     */
    Set<Mechanism> disabled();

    /**
     * Tells whether a mechanism is enabled.
     *
     * @param mechanism mechanism
     * @return false if it is disabled
     */
    default boolean isEnabled(Mechanism mechanism) {
        return !disabled().contains(mechanism);
    }
}
