package org.whinwharf.traffic.target;

import java.util.Set;
import org.immutables.value.Value;

/** One published target: a single lifetime of an engine or of a plain service's process. */
@Value.Immutable
public interface Target {
    /**
     * Returns the target's published id.
     *
     * @return id; a restart may keep it
     */
    String id();

    /**
     * Returns the service it serves.
     *
     * @return name of the service
     */
    String service();

    /**
     * Returns the IP number it listens on.
     *
     * @return IPv4 address
     */
    String ip();

    /**
     * Returns the port it listens on.
     *
     * @return TCP port
     */
    int port();

    /**
     * Returns the data centre it stands in.
     *
     * @return name of the data centre
     */
    String dataCentre();

    /**
     * Returns how many requests it processes at once.
     *
     * @return slots, 1 or more
     */
    int slots();

    /**
     * Tells whether it is leaving and must get nothing new.
     *
     * @return true when it is leaving
     */
    boolean draining();

    /**
     * Returns how long it stays cold, by its own last word.
     *
     * @return time in milliseconds from when that was published; 0 when warm
     */
    long coldRemainingMillis();

    /**
     * Returns when it started.
     *
     * @return Unix time in milliseconds; 0 when it was not published
     */
    long startedUnixMillis();

    /**
     * Returns the models it has loaded.
     *
     * @return names; empty for plain services
     */
    Set<String> models();

    /**
     * Returns its address.
     *
     * @return IP number and port, joined by a colon
     */
    @Value.Derived
    default String address() {
        return ip() + ":" + port();
    }

    /**
     * Returns a short digest of the id that processes use when they speak of the target.
     *
     * @return digest
     */
    @Value.Derived
    default int digest() {
        return id().hashCode();
    }
}
