package org.whinwharf.traffic.policy;

import java.util.Set;
import org.immutables.value.Value;

/** The parts of the policy that are in use. */
@Value.Immutable
public interface Policy {
    /** Everything is in use. */
    Policy ALL_ENABLED = ImmutablePolicy.builder().build();

    /**
     * Returns what is switched off.
     *
     * @return mechanisms; empty in normal service
     */
    Set<Mechanism> disabled();

    /**
     * Tells whether a mechanism is in use.
     *
     * @param mechanism the mechanism
     * @return false when it is switched off
     */
    default boolean isEnabled(Mechanism mechanism) {
        return !disabled().contains(mechanism);
    }
}
