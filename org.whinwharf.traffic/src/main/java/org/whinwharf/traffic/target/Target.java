package org.whinwharf.traffic.target;

import java.util.Set;
import org.immutables.value.Value;

/** One published target: a single run of an engine or of a plain service's process. */
@Value.Immutable
public interface Target {
    /**
     * Returns the target's published id.
     *
     * @return id; a restart may keep it
     */
    String id();

    /**
     * Returns the service to which the target belongs.
     *
     * @return name of the service
     */
    String service();

    /**
     * Returns the IP address on which the target listens.
     *
     * @return IPv4 address
     */
    String ip();

    /**
     * Returns the port on which the target listens.
     *
     * @return TCP port
     */
    int port();

    /**
     * Returns the data centre in which the target runs.
     *
     * @return name of the data centre
     */
    String dataCentre();

    /**
     * Returns the number of requests that the target processes concurrently.
     *
     * @return slots, 1 or more
     */
    int slots();

    /**
     * Returns whether the target is draining and must get no new requests.
     *
     * @return true when it is draining
     */
    boolean draining();

    /**
     * Returns how long the target stays cold, as it published last.
     *
     * @return time in milliseconds from the publication; 0 when warm
     */
    long coldRemainingMillis();

    /**
     * Returns when the target started.
     *
     * @return Unix time in milliseconds; 0 when not published
     */
    long startedUnixMillis();

    /**
     * Returns the version of the target's software. What targets of two versions write cannot be joined.
     *
     * @return version, compared for equality only
     */
    String version();

    /**
     * Returns the models that the target has loaded.
     *
     * @return names; empty for plain services
     */
    Set<String> models();

    /**
     * Returns the target's address.
     *
     * @return IP address and port, separated by a colon
     */
    @Value.Derived
    default String address() {
        return ip() + ":" + port();
    }

    /**
     * Returns a short digest of the id, with which processes refer to the target in messages.
     *
     * @return digest
     */
    @Value.Derived
    default int digest() {
        return id().hashCode();
    }
}
