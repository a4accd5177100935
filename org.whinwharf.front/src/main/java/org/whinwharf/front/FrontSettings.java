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
     * Returns the IP address of the host.
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
     * @return IP address and port, joined by a colon
     */
    String callerAddress();

    /**
     * Returns the port for traffic between fronts, the same on all hosts.
     *
     * @return UDP and TCP port
     */
    int peerPort();

    /**
     * Returns the IP addresses of the hosts that a starting front contacts to discover its peers.
     *
     * @return IPv4 addresses; some may be stale
     */
    List<String> seedIps();

    /**
     * Tells whether the whole fleet starts for the first time.
     *
     * @return true when no earlier process can have admitted requests
     */
    boolean freshFleet();

    /**
     * Returns the number of retries that the whole fleet may send for each request.
     *
     * @return ratio of retries to requests
     */
    double retryRatio();

    /**
     * Returns the number of retries that the whole fleet may send regardless of the number of requests.
     *
     * @return retries in one window
     */
    double retryAllowance();

    /**
     * Returns the window of the retry budget.
     *
     * @return time in milliseconds
     */
    long retryWindowMillis();

    /**
     * Returns the grace period from a stop request to the end of the process.
     *
     * @return time in milliseconds
     */
    long stopGraceMillis();

    /**
     * Returns the port on which metrics are served.
     *
     * @return TCP port; 0 for none
     */
    int metricsPort();

    /**
     * Returns the port on which peers ask this process for connections to targets.
     *
     * @return TCP port; 0 for none
     */
    @Value.Default
    default int relayPort() {
        return 0;
    }

    /**
     * Returns the time between two writes of a target to its entry, which expires after three such times without one.
     *
     * @return time in milliseconds; 0 when unknown
     */
    @Value.Default
    default long targetHeartbeatMillis() {
        return 0;
    }

    /**
     * Returns the processor time that this process may use.
     *
     * @return processor time in hundredths of a core; 0 when unknown
     */
    @Value.Default
    default int processorPercent() {
        return 0;
    }

    /**
     * Returns the scheduling policy, with the mechanisms that are enabled.
     *
     * @return the whole policy unless a mechanism is disabled
     */
    @Value.Default
    default Policy policy() {
        return Policy.ALL_ENABLED;
    }

    /**
     * Returns the time without a reply after which a coordinator is skipped: three placement requests at intervals of
     * 40 ms, of which two may be lost.
     *
     * @return time in milliseconds
     */
    @Value.Default
    default long coordinatorTimeoutMillis() {
        return 120;
    }

    /**
     * Tells whether there are other processes, through which the fleet is found.
     *
     * @return true if a seed is another host
     */
    @Value.Derived
    default boolean expectsPeers() {
        return seedIps().stream().anyMatch(seedIp -> !seedIp.equals(ip()));
    }
}
