package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.immutables.value.Value;
import org.whinwharf.traffic.crash.CrashLedger;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.rate.StatedRates;
import org.whinwharf.traffic.share.OrganisationWeights;
import org.whinwharf.traffic.share.ShareListener;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.TargetState;

/** The state that a coordinator bases its decisions on, and the listeners that it notifies. */
@Value.Immutable
public interface CoordinatorDependencies {
    /**
     * Returns the name of this process. Its own requests update the state of targets directly, so the coordinator
     * ignores what they report of a target.
     *
     * @return name of the process
     */
    String localName();

    /**
     * Returns the target selector.
     *
     * @return selector, with the shares of cold targets that a coordinator may use
     */
    TargetSelector targetSelector();

    /**
     * Returns the record of the targets that have read each prompt.
     *
     * @return prompt cache that the target selector uses
     */
    PromptCacheIndex promptCache();

    /**
     * Returns the states of targets.
     *
     * @return function from the name of a service to the states of its targets
     */
    Function<String, Collection<TargetState>> targets();

    /**
     * Returns the data centres that must not receive new requests.
     *
     * @return supplier of their current names
     */
    Supplier<Set<String>> evacuatedDataCentres();

    /**
     * Returns the quotas of all organisations.
     *
     * @return quota ledger
     */
    QuotaLedger quotas();

    /**
     * Returns the listener for request outcomes at targets.
     *
     * @return listener
     */
    TargetOutcomeListener targetOutcomeListener();

    /**
     * Returns the listener for decisions on placement requests.
     *
     * @return listener
     */
    DecisionListener decisionListener();

    /**
     * Returns the listener for changes of the load in flight at targets.
     *
     * @return listener
     */
    LoadListener loadListener();

    /**
     * Returns the listener for lasting changes of the observed work.
     *
     * @return listener; changes are ignored by default
     */
    @Value.Default
    default WorkListener workListener() {
        return WorkListener.NONE;
    }

    /**
     * Returns the weights by which organisations share the slots of a service.
     *
     * @return weights; equal by default
     */
    @Value.Default
    default OrganisationWeights organisationWeights() {
        return new OrganisationWeights();
    }

    /**
     * Returns the listener for the limits that shares set to organisations.
     *
     * @return listener; limits are ignored by default
     */
    @Value.Default
    default ShareListener shareListener() {
        return ShareListener.NONE;
    }

    /**
     * Returns the listener for changes of the learned limits of targets.
     *
     * @return listener; changes are ignored by default
     */
    @Value.Default
    default LimitListener limitListener() {
        return LimitListener.NONE;
    }

    /**
     * Returns the source of the jitter in Retry-After delays.
     *
     * @return supplier of random numbers from 0 to 1
     */
    @Value.Default
    default DoubleSupplier random() {
        return () -> 0.5;
    }

    /**
     * Returns the requests under which targets have crashed.
     *
     * @return ledger; empty by default
     */
    @Value.Default
    default CrashLedger crashes() {
        return new CrashLedger();
    }

    /**
     * Returns the listener for runs of suspects whose process stopped reporting, so that their end is not known.
     *
     * @return consumer of the runs; ignored by default
     */
    @Value.Default
    default Consumer<LostRun> lostRunListener() {
        return run -> {};
    }

    /**
     * Returns the rates that targets state.
     *
     * @return rates; none by default
     */
    @Value.Default
    default StatedRates statedRates() {
        return new StatedRates();
    }

    /**
     * Returns the scheduling policy.
     *
     * @return policy; all mechanisms are enabled by default
     */
    @Value.Default
    default Policy policy() {
        return Policy.ALL_ENABLED;
    }
}
