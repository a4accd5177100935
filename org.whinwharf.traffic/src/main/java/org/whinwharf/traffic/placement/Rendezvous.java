package org.whinwharf.traffic.placement;

/** Rendezvous hashing: ranks processes for a key. Each process computes the same ranking without communication. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Computes the weight of a process for a key.
     *
     * @param processName name of the process
     * @param key name of the resource to be assigned
     * @return weight; the highest ranks first
     */
    public static long weight(String processName, String key) {
        long mixed = processName.hashCode() * 0x9E3779B97F4A7C15L + key.hashCode() * 0xC2B2AE3D27D4EB4FL;
        mixed ^= mixed >>> 29;
        mixed *= 0xBF58476D1CE4E5B9L;
        mixed ^= mixed >>> 32;
        return mixed;
    }
}
