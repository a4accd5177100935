package org.whinwharf.front;

import java.util.List;
import org.immutables.value.Value;
import org.whinwharf.traffic.policy.Policy;

/** Settings of one front process. */
@Value.Immutable
public interface FrontSettings {
    /**
     * Returns the name of the host.
     *
     * @return name, unique in the fleet
     */
    String name();

    /**
     * Returns the IP number of the host.
     *
     * @return IPv4 address
     */
    String ip();

    /**
     * Returns the data centre of the host.
     *
     * @return name of the data centre
     */
    String dataCentre();

    /**
     * Returns the address that callers connect to.
     *
     * @return IP number and port, joined by a colon
     */
    String callerAddress();

    /**
     * Returns the port for traffic between front processes, the same on all hosts.
     *
     * @return UDP and TCP port
     */
    int peerPort();

    /**
     * Returns the IP numbers of hosts to ask for the others.
     *
     * @return IPv4 addresses; some may be stale
     */
    List<String> seedIps();

    /**
     * Tells whether the whole fleet starts for the first time.
     *
     * @return true when no earlier process can have admitted anything
     */
    boolean freshFleet();

    /**
     * Returns the repeats for each request that the whole fleet may send.
     *
     * @return ratio
     */
    double retryRatio();

    /**
     * Returns the repeats that the whole fleet may send in any case.
     *
     * @return repeats in one window
     */
    double retryAllowance();

    /**
     * Returns the window of the retry budget.
     *
     * @return time in milliseconds
     */
    long retryWindowMillis();

    /**
     * Returns the time between a request to stop and the end of the process.
     *
     * @return time in milliseconds
     */
    long stopGraceMillis();

    /**
     * Returns the port that serves metrics.
     *
     * @return TCP port; 0 for none
     */
    int metricsPort();

    /**
     * Returns the processor time that this process may use.
     *
     * @return hundredths of a core; 0 when it is not known
     */
    @Value.Default
    default int processorPercent() {
        return 0;
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

    /**
     * Returns after which silence a coordinator is passed over: three asks of 40 ms, of which two may be lost.
     *
     * @return time in milliseconds
     */
    @Value.Default
    default long coordinatorTimeoutMillis() {
        return 120;
    }
}
