package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.immutables.value.Value;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCache;
import org.whinwharf.traffic.target.TargetState;

/** What a coordinator decides with, and who takes its decisions. */
@Value.Immutable
public interface CoordinatorDependencies {
    /**
     * Returns the process that coordinates; what its own requests show reaches the targets without the coordinator.
     *
     * @return name of the process
     */
    String localName();

    /**
     * Returns how targets are chosen.
     *
     * @return placement, with the shares of cold targets that a coordinator may use
     */
    TargetSelector targetSelector();

    /**
     * Returns where prompts were read.
     *
     * @return memory that the placement uses
     */
    PromptCache promptCache();

    /**
     * Returns what is known of targets.
     *
     * @return states of the targets of a service, by its name
     */
    Function<String, Collection<TargetState>> targets();

    /**
     * Returns the data centres that must get nothing new.
     *
     * @return their names, at any time
     */
    Supplier<Set<String>> evacuatedDataCentres();

    /**
     * Returns the quotas of all organisations.
     *
     * @return ledger
     */
    QuotaLedger quotas();

    /**
     * Returns who takes what processes saw of targets.
     *
     * @return taker of reports
     */
    TargetOutcomeListener targetOutcomeListener();

    /**
     * Returns who takes decisions.
     *
     * @return outbox
     */
    DecisionListener decisionListener();

    /**
     * Returns who takes what is under way at targets.
     *
     * @return taker of loads
     */
    LoadListener loadListener();

    /**
     * Returns the random numbers that spread the advice to callers.
     *
     * @return numbers from 0 to 1
     */
    @Value.Default
    default DoubleSupplier random() {
        return () -> 0.5;
    }

    /**
     * Returns which parts of the policy are in use.
     *
     * @return the whole policy unless something is switched off
     */
    @Value.Default
    default Policy policy() {
        return Policy.ALL_ENABLED;
    }
}
