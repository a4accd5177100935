package org.whinwharf.standin.internal;

/**
 * Faults of an engine; absent members of a {@code POST /faults} stay as they are.
 *
 * @param slowFactor by how much everything takes longer
 * @param refuse every stream is refused before admission
 * @param loadLagMillis lag of the reported load; negative for that of the settings
 * @param dropCacheEvents no cache event is published
 * @param goCold once: the engine turns cold and keeps its start number
 * @param restart once: streams end, the cache is lost, the start number changes, the engine is cold
 * @param breakStreams once: connections of streams end, the streams go on
 */
record EngineFaults(
        double slowFactor,
        boolean refuse,
        long loadLagMillis,
        boolean dropCacheEvents,
        boolean goCold,
        boolean restart,
        boolean breakStreams) {
    static final EngineFaults NONE = new EngineFaults(1, false, -1, false, false, false, false);

    /** Returns the faults that stay after those that happen once. */
    EngineFaults lasting() {
        return new EngineFaults(slowFactor, refuse, loadLagMillis, dropCacheEvents, false, false, false);
    }
}
