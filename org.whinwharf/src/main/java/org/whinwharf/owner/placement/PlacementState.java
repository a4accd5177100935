package org.whinwharf.owner.placement;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** State that a {@link PlacementStrategy} keeps between choices. */
public final class PlacementState {
    private final UniformRandomProvider random;
    private long sequence;

    /**
     * Creates the state.
     *
     * @param seed seed of the random number generator
     */
    public PlacementState(long seed) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    int nextInTurn(int bound) {
        return (int) (sequence++ % bound);
    }

    int random(int bound) {
        return random.nextInt(bound);
    }
}
