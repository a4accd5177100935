package org.whinwharf.platform.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Faults of one worker for a time.
 *
 * @param faults faults, of which each is as frequent as the others
 * @param probability share of the answers that have one of them
 * @param rejectionProbability share of the requests that are rejected though there is a slot
 */
record FaultMix(List<WorkerFault> faults, double probability, double rejectionProbability) {
    private static final List<WorkerFault> ALL = Arrays.stream(WorkerFault.values())
            .filter(fault -> fault != WorkerFault.ENDED_EARLY)
            .toList();
    private static final List<WorkerFault> REPEATING =
            Arrays.stream(WorkerFault.values()).filter(WorkerFault::repeats).toList();
    private static final List<WorkerFault> BREAKING = Arrays.stream(WorkerFault.values())
            .filter(fault -> !fault.answers() && fault != WorkerFault.ENDED_EARLY)
            .toList();

    private static final List<WorkerFault> BROKEN_OFF = List.of(WorkerFault.TRUNCATED, WorkerFault.RESET);
    private static final double BROKEN_OFF_PROBABILITY = 0.35;
    private static final double RARE_PROBABILITY = 0.02;

    /** Draws a mix: none, some of all kinds, mostly repeated answers, or mostly answers that are broken off. */
    static FaultMix draw(Random random) {
        double rejections = random.nextInt(2) * 0.3;
        return switch (random.nextInt(5)) {
            case 0 -> new FaultMix(ALL, 0, 0);
            case 1 -> new FaultMix(ALL, 0.25, rejections);
            case 2, 3 -> new FaultMix(REPEATING, 0.7, rejections);
            default -> new FaultMix(BREAKING, 0.35, rejections);
        };
    }

    /** Draws a mix: none, or answers that are broken off. */
    static FaultMix drawBroken(Random random) {
        return new FaultMix(BROKEN_OFF, random.nextInt(2) * BROKEN_OFF_PROBABILITY, 0);
    }

    /** Returns a mix of few answers that are broken off. */
    static FaultMix rare() {
        return new FaultMix(BROKEN_OFF, RARE_PROBABILITY, 0);
    }

    /** Draws the fault of an answer, or none. */
    WorkerFault drawFault(Random random) {
        return random.nextDouble() < probability ? faults.get(random.nextInt(faults.size())) : WorkerFault.NONE;
    }

    /** Draws whether a request is rejected. */
    boolean drawRejection(Random random) {
        return random.nextDouble() < rejectionProbability;
    }
}
