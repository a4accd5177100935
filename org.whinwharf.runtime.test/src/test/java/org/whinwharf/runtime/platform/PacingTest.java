package org.whinwharf.runtime.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Simulates the pacing of a whole fleet with a virtual clock and counts the reads in each second. */
class PacingTest {
    private static final int PROCESSES = 410 * 3;
    private static final int SECONDS = 60;
    private static final long DOCUMENT_WAIT_MILLIS = 10_000;
    private static final long STEWARD_WAIT_MILLIS = 1_500;
    private static final long START_SPREAD_MILLIS = 1_500;
    private static final int PLATFORM_READS_PER_SECOND = 2_000;

    // All processes restart at once after a power failure of the data centre. If all of them read at the same instant,
    // the platform would reject most of the reads, and the fleet would stay out of service for longer.
    @Test
    void restartOfTheWholeFleetStaysWithinThePlatformsRate() {
        int[] reads = simulate(DOCUMENT_WAIT_MILLIS, 0, at -> false);
        assertThat(max(reads), lessThan(PLATFORM_READS_PER_SECOND / 2));
    }

    @Test
    void fleetAtRestReadsLittle() {
        int[] reads = simulate(DOCUMENT_WAIT_MILLIS, PROCESSES, at -> false);
        assertThat(reads[SECONDS - 1], lessThan(PLATFORM_READS_PER_SECOND / 8));
        assertThat(reads[SECONDS - 1], greaterThan(0));
    }

    // Operators publish twice within a second. Each change completes every pending read, and each watch reads again.
    @Test
    void twoChangesInASecondStayWithinThePlatformsRate() {
        int[] reads = simulate(DOCUMENT_WAIT_MILLIS, PROCESSES, at -> at == 30_000 || at == 30_700);
        assertThat(max(reads), lessThan(PLATFORM_READS_PER_SECOND / 2));
    }

    @Test
    void stewardsThatNeedAFreshListStayWithinThePlatformsRate() {
        int[] reads = simulate(STEWARD_WAIT_MILLIS, PROCESSES, at -> false);
        assertThat(reads[SECONDS - 1] / 3, lessThan(PLATFORM_READS_PER_SECOND / 4));
    }

    @Test
    void outageOfThePlatformDoesNotRaiseTheReads() {
        Pacing pacing = new Pacing(DOCUMENT_WAIT_MILLIS, START_SPREAD_MILLIS, RandomSource.SPLIT_MIX_64.create(1));
        long totalMillis = 0;
        for (int i = 0; i < 1_000; i++) {
            totalMillis += pacing.nextDelayMillis(new PlatformAnswer.Failed<>("down"), 0, PROCESSES);
        }
        long readsPerSecond = PROCESSES * 1_000L * 1_000 / totalMillis;
        assertThat(readsPerSecond, lessThan(PLATFORM_READS_PER_SECOND / 2L));
    }

    /**
     * Returns the number of reads in each second; {@code changes} tells whether a change is published at a given
     * millisecond.
     */
    private static int[] simulate(long waitMillis, int knownAtStart, LongFunction<Boolean> changes) {
        int[] reads = new int[SECONDS];
        PriorityQueue<SimulatedProcess> due =
                new PriorityQueue<>(Comparator.comparingLong(process -> process.nextReadAtMillis));
        for (int i = 0; i < PROCESSES; i++) {
            SimulatedProcess process = new SimulatedProcess();
            process.pacing = new Pacing(waitMillis, START_SPREAD_MILLIS, RandomSource.SPLIT_MIX_64.create(i));
            process.nextReadAtMillis = process.pacing.initialDelayMillis(knownAtStart);
            due.add(process);
        }
        while (due.peek().nextReadAtMillis < SECONDS * 1_000L) {
            SimulatedProcess process = due.poll();
            reads[(int) (process.nextReadAtMillis / 1_000)]++;
            process.completeRead(changes);
            due.add(process);
        }
        return reads;
    }

    private static int max(int[] reads) {
        int max = 0;
        for (int count : reads) {
            max = Math.max(max, count);
        }
        return max;
    }

    private static final class SimulatedProcess {
        private Pacing pacing;
        private long nextReadAtMillis;
        private boolean firstRead = true;

        void completeRead(LongFunction<Boolean> changes) {
            long longPollMillis = firstRead ? 0 : pacing.longPollMillis();
            boolean changed = firstRead;
            firstRead = false;
            long elapsedMillis = 0;
            while (elapsedMillis < longPollMillis && !changed) {
                elapsedMillis++;
                changed = changes.apply(nextReadAtMillis + elapsedMillis);
            }
            PlatformAnswer<String> answer =
                    changed ? new PlatformAnswer.Changed<>("") : new PlatformAnswer.Unchanged<>();
            nextReadAtMillis += elapsedMillis + pacing.nextDelayMillis(answer, elapsedMillis, PROCESSES);
        }
    }
}
