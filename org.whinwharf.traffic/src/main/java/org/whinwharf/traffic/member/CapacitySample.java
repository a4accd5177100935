package org.whinwharf.traffic.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Draws the processes that callers are told to connect to, each as often as the processor time of its host allows.
 *
 * <p>Callers spread evenly over the processes they are given. In a fleet of unlike hosts, the smallest ones would
 * therefore be overloaded while the largest are nearly idle. A process that coordinates a service is left out, because
 * the requests of all others wait while it serves callers of its own; it still serves those that it has.
 */
final class CapacitySample {
    /** Minimum expected size of a sample, so that callers have alternatives when several of its processes fail. */
    private static final int MIN_EXPECTED_SIZE = 16;
    /** Ratio of processor times from which hosts count as unlike; smaller differences are within the spread of load. */
    private static final double MIN_UNLIKE_RATIO = 1.25;

    private CapacitySample() {}

    /**
     * Tells whether the hosts of processes differ in their processor time.
     *
     * @param serving reports of processes
     * @return false if they are alike, or if any of them does not know its processor time
     */
    static boolean differ(Collection<MemberReport> serving) {
        int least = Integer.MAX_VALUE;
        int most = 0;
        for (MemberReport report : serving) {
            least = Math.min(least, report.getProcessorPercent());
            most = Math.max(most, report.getProcessorPercent());
        }
        return least > 0 && most >= least * MIN_UNLIKE_RATIO;
    }

    /**
     * Draws a sample.
     *
     * @param serving reports of processes that serve callers and know their processor time
     * @param coordinators names of the processes that coordinate services
     * @param maxCount maximum size of the sample
     * @param random source of randomness
     * @return reports in random order; not empty unless there are none to draw from
     */
    static List<MemberReport> draw(
            Collection<MemberReport> serving, Set<String> coordinators, int maxCount, Random random) {
        List<MemberReport> candidates = new ArrayList<>(serving);
        candidates.removeIf(report -> coordinators.contains(report.getName()));
        if (candidates.size() < Math.min(MIN_EXPECTED_SIZE, serving.size())) {
            candidates = new ArrayList<>(serving);
        }
        double scale = scale(candidates, Math.min(MIN_EXPECTED_SIZE, candidates.size()));
        List<MemberReport> sample = new ArrayList<>();
        for (MemberReport report : candidates) {
            if (random.nextDouble() < report.getProcessorPercent() * scale) {
                sample.add(report);
            }
        }
        if (sample.isEmpty()) {
            sample.addAll(candidates);
        }
        Collections.shuffle(sample, random);
        return sample.subList(0, Math.min(maxCount, sample.size()));
    }

    /**
     * Returns the factor from processor time to probability: the largest host is always drawn, or more of the smaller
     * ones are if the sample would be too small.
     */
    private static double scale(Collection<MemberReport> candidates, int minSize) {
        int most = 0;
        double sum = 0;
        for (MemberReport report : candidates) {
            most = Math.max(most, report.getProcessorPercent());
            sum += report.getProcessorPercent();
        }
        return Math.max(1.0 / most, minSize / sum);
    }
}
