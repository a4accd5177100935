package org.whinwharf.standin.internal;

/**
 * Faults of a plain service; absent members of a {@code POST /faults} stay as they are.
 *
 * @param slowFactor by how much calls take longer
 * @param refuse every call is refused before admission
 * @param loseAnswers calls run, but their answers never come
 */
record PlainFaults(double slowFactor, boolean refuse, boolean loseAnswers) {
    static final PlainFaults NONE = new PlainFaults(1, false, false);
}
