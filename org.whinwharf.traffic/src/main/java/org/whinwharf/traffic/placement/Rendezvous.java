package org.whinwharf.traffic.placement;

/** Rendezvous hashing: ranks processes for a key, the same everywhere and without a word between them. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Ranks a process for a key.
     *
     * @param processName name of a process
     * @param key what is shared out
     * @return weight; the highest come first
     */
    public static long weight(String processName, String key) {
        long mixed = processName.hashCode() * 0x9E3779B97F4A7C15L + key.hashCode() * 0xC2B2AE3D27D4EB4FL;
        mixed ^= mixed >>> 29;
        mixed *= 0xBF58476D1CE4E5B9L;
        mixed ^= mixed >>> 32;
        return mixed;
    }
}
