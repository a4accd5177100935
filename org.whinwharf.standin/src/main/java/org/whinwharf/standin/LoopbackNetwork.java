package org.whinwharf.standin;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses that belong to this process alone, so that concurrent test runs on one host do not share one: the
 * addresses are derived from the process id.
 */
public final class LoopbackNetwork {
    /** Largest index of an address of one network. */
    public static final int MAX_INDEX = 15;

    private static final int NETWORK_SIZE = MAX_INDEX + 1;
    private static final int NETWORKS_PER_PROCESS = 15;
    private static final int PART_SIZE = 250;
    private static final long PID = ProcessHandle.current().pid();
    private static final AtomicInteger NEXT_NETWORK = new AtomicInteger();

    private final int firstIndex;

    private LoopbackNetwork(int network) {
        firstIndex = network * NETWORK_SIZE;
    }

    /**
     * Returns a network that shares no address with the ones before.
     *
     * @return the next network of this process
     * @throws IllegalStateException if this process has used up its addresses
     */
    public static LoopbackNetwork next() {
        int network = NEXT_NETWORK.getAndIncrement();
        if (network >= NETWORKS_PER_PROCESS) {
            throw new IllegalStateException("no loopback network is left in this process");
        }
        return new LoopbackNetwork(network);
    }

    /**
     * Returns an address of this network.
     *
     * @param index index of the address, from 1 to {@link #MAX_INDEX}
     * @return dotted address
     */
    public String address(int index) {
        if (index < 1 || index > MAX_INDEX) {
            throw new IllegalArgumentException("index " + index);
        }
        return "127." + (1 + PID / PART_SIZE % PART_SIZE) + "." + (1 + PID % PART_SIZE) + "." + (firstIndex + index);
    }
}
