package org.whinwharf.traffic.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;

/**
 * Number of requests that a target takes at once before it slows down, learned from the pace of its answers.
 *
 * <p>Up to some number of requests, each of them costs a target little. Beyond it, a further request slows down the
 * others as much as it adds, so that the target completes no more in the same time. That number is where the line
 * through the pace over the number of requests, both as logarithms, bends from level to a slope of about 1. A target
 * that is slow at any load has no such bend and keeps its slots.
 *
 * <p>A limited target gets no requests that would show that it bears more. At short intervals the limit is therefore
 * raised on trial, by one request first, and lowered by one if that was in vain. A trial ends with the first answers
 * that leave no doubt. Not thread-safe.
 */
public final class TargetLimit {
    /** Events of an answer below which its pace depends on single steps of the target. */
    public static final int MIN_EVENTS = 4;
    /** Answers compared. */
    private static final int MAX_SAMPLES = 32;
    /** Age up to which answers are compared. */
    private static final long MAX_SAMPLE_AGE_MILLIS = 10_000;
    /** Number of answers without which no bend is looked for. */
    private static final int MIN_SAMPLES = 8;
    /** Number of answers beyond the bend without which it does not count; they decide a trial in any case. */
    private static final int MIN_SAMPLES_BEYOND = 4;
    /** Number of answers that decide a trial if they leave no doubt. */
    private static final int MIN_SAMPLES_OF_CLEAR_TRIAL = 2;
    /** Slope from which further requests do not increase the throughput noticeably. */
    private static final double MAX_SLOPE = 0.9;
    /** Standard errors by which a slope must differ from its limit to leave no doubt. */
    private static final double REQUIRED_ERRORS = 3;
    /** Standard errors of a slope from which it is too uncertain to tell anything. */
    private static final double MAX_ERROR = 0.5;
    /** Share by which a load must exceed another one to be told from it, since loads are averages. */
    private static final double DISTINCT_LOAD = 0.1;
    /** Ratio of paces within a limit from which the target has become slower or faster at any load. */
    private static final double SHIFTED_PACE = 1.6;
    /** Answers in a row that show it. */
    private static final int SHIFTED_ANSWERS = 3;
    /** Standard deviation of the logarithm of the pace that is assumed at least. */
    private static final double MIN_DEVIATION = 0.1;
    /** Minimum time between trials. */
    private static final long TRIAL_INTERVAL_MILLIS = 250;
    /** Minimum number of answers between trials. */
    private static final int ANSWERS_BETWEEN_TRIALS = 4;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private int limit;
    private double paceWithinMillis;
    private int answersWithin;
    /** Sum of the squared deviations of the logarithm of the pace from that of the mean. */
    private double squaredDeviations;

    private int shiftedAnswers;
    private boolean tryLower;
    /** Whether fewer requests at once were found to be worse at the present speed. */
    private boolean lowerIsWorse;

    /** Lowest number of requests that is taken for useless at the present speed; above the slots without one. */
    private int useless;

    private int limitBeforeTrial;
    private int answersSinceTrial;
    private long nextTrialAtMillis;

    private record Sample(double load, double paceMillis, long atMillis) {}

    /**
     * A line of the logarithm of the pace over that of the load: level up to a bend, then with a slope.
     *
     * @param bend load at the bend
     * @param slope slope beyond it
     * @param slopeError standard error of the slope
     * @param error sum of the squared deviations
     * @param beyond number of answers beyond the bend
     */
    private record Fit(int bend, double slope, double slopeError, double error, int beyond) {}

    /**
     * Returns the limit.
     *
     * @return requests at once; 0 while the target is not known to slow down within its slots
     */
    public int requests() {
        return limit;
    }

    /**
     * Returns the limit apart from trials.
     *
     * @return requests at once; 0 while the target is not known to slow down within its slots
     */
    public int settled() {
        return limitBeforeTrial > 0 ? limitBeforeTrial : limit;
    }

    /**
     * Returns the number of answers that the limit is based on.
     *
     * @return number of answers
     */
    public int samples() {
        return samples.size();
    }

    /**
     * Takes over what another process has learned, unless this one has learned something itself.
     *
     * @param requests limit of the other process, above 0
     * @param nowMillis monotonic time in milliseconds
     */
    public void adopt(int requests, long nowMillis) {
        if (limit == 0 && samples.isEmpty()) {
            limit = requests;
            useless = requests + 1;
            nextTrialAtMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
        }
    }

    /**
     * Records a complete answer of at least {@link #MIN_EVENTS} events.
     *
     * @param load mean number of requests at the target while it sent the answer
     * @param paceMillis mean time between the events of the answer in milliseconds, above 0
     * @param slots slots of the target
     * @param nowMillis monotonic time in milliseconds
     * @return true if the limit has changed, trials not counted
     */
    public boolean record(double load, double paceMillis, int slots, long nowMillis) {
        int before = settled();
        samples.removeIf(sample -> nowMillis - sample.atMillis() > MAX_SAMPLE_AGE_MILLIS);
        if (samples.size() == MAX_SAMPLES) {
            samples.removeFirst();
        }
        samples.add(new Sample(Math.max(1, load), paceMillis, nowMillis));
        if (limit > 0 && hasShifted(load, paceMillis)) {
            relearnPace(nowMillis);
        } else if (limit > 0 && limitBeforeTrial > 0) {
            judgeTrial(slots, nowMillis);
        } else if (limit > 0) {
            lowerOrTry(slots, nowMillis);
        } else {
            bend(slots).ifPresent(requests -> {
                useless = requests + 1;
                setLimit(requests, nowMillis);
            });
        }
        return settled() != before;
    }

    /** Tells whether the pace within the limit is no longer what the limit is based on. */
    private boolean hasShifted(double load, double paceMillis) {
        int within = limitBeforeTrial > 0 ? Math.min(limitBeforeTrial, limit) : limit;
        if (load > within * (1 + DISTINCT_LOAD)) {
            return false;
        }
        if (answersWithin < MIN_SAMPLES_BEYOND) {
            recordWithin(paceMillis);
            return false;
        }
        boolean shifted = paceMillis > paceWithinMillis * SHIFTED_PACE || paceMillis < paceWithinMillis / SHIFTED_PACE;
        shiftedAnswers = shifted ? shiftedAnswers + 1 : 0;
        return shiftedAnswers >= SHIFTED_ANSWERS;
    }

    private void recordWithin(double paceMillis) {
        if (answersWithin > 0) {
            double deviation = Math.log(paceMillis / paceWithinMillis);
            squaredDeviations += deviation * deviation * answersWithin / (answersWithin + 1);
        }
        answersWithin++;
        paceWithinMillis += (paceMillis - paceWithinMillis) / answersWithin;
    }

    /** Keeps the limit of a target whose speed has changed, but not its pace, and soon tries to raise it. */
    private void relearnPace(long nowMillis) {
        int restored = limitBeforeTrial > 0 ? limitBeforeTrial : limit;
        samples.clear();
        tryLower = false;
        lowerIsWorse = false;
        useless = restored + 1;
        setLimit(restored, nowMillis);
    }

    private void removeLimit() {
        limit = 0;
        limitBeforeTrial = 0;
        tryLower = false;
        lowerIsWorse = false;
        samples.clear();
        forgetPace();
    }

    private void forgetPace() {
        answersWithin = 0;
        paceWithinMillis = 0;
        squaredDeviations = 0;
        shiftedAnswers = 0;
    }

    private void setLimit(int requests, long nowMillis) {
        restoreLimit(requests, nowMillis);
        forgetPace();
    }

    private void restoreLimit(int requests, long nowMillis) {
        limit = requests;
        limitBeforeTrial = 0;
        samples.removeIf(sample -> sample.load() > requests * (1 + DISTINCT_LOAD));
        answersSinceTrial = 0;
        nextTrialAtMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
    }

    /** Lowers a limit that is still too high, or changes it on trial once the target has been filled up to it. */
    private void lowerOrTry(int slots, long nowMillis) {
        answersSinceTrial++;
        if (answersWithin < MIN_SAMPLES_BEYOND
                || answersSinceTrial < ANSWERS_BETWEEN_TRIALS
                || nowMillis < nextTrialAtMillis) {
            return;
        }
        if (samples.getLast().load() >= limit * (1 - DISTINCT_LOAD)) {
            startTrial(tryLower ? limit - 1 : nextHigher(slots), nowMillis);
        }
    }

    private void startTrial(int requests, long nowMillis) {
        limitBeforeTrial = limit;
        limit = requests;
        nextTrialAtMillis = nowMillis;
    }

    /** Returns the double of the limit, or half the way to what is useless, which is asked again itself at last. */
    private int nextHigher(int slots) {
        int requests = useless > slots ? limit * 2 : limit + Math.max(1, (useless - limit) / 2);
        return Math.min(slots, requests);
    }

    /** Ends a trial once its answers tell whether the higher number of requests adds to the throughput. */
    private void judgeTrial(int slots, long nowMillis) {
        boolean lowered = limit < limitBeforeTrial;
        List<Sample> trial = new ArrayList<>();
        double sumXx = 0;
        double sumXy = 0;
        for (Sample sample : samples) {
            boolean ofTrial = lowered
                    ? sample.load() < limitBeforeTrial * (1 - DISTINCT_LOAD / 2)
                            && sample.load() > limit * (1 - DISTINCT_LOAD)
                    : sample.load() > limitBeforeTrial * (1 + DISTINCT_LOAD / 2);
            if (ofTrial && sample.atMillis() >= nextTrialAtMillis) {
                double x = Math.log(sample.load() / limitBeforeTrial);
                trial.add(sample);
                sumXx += x * x;
                sumXy += x * Math.log(sample.paceMillis() / paceWithinMillis);
            }
        }
        if (trial.size() < MIN_SAMPLES_OF_CLEAR_TRIAL) {
            return;
        }
        double slope = sumXy / sumXx;
        double deviation = Math.max(MIN_DEVIATION, Math.sqrt(squaredDeviations / (answersWithin - 1)));
        boolean clear = Math.abs(slope - MAX_SLOPE) >= REQUIRED_ERRORS * deviation / Math.sqrt(sumXx);
        if (clear || trial.size() >= MIN_SAMPLES_BEYOND) {
            endTrial(trial, slope >= MAX_SLOPE, slots, nowMillis);
        }
    }

    /** Restores a limit that was changed on trial in vain, or keeps the change and goes on in the same direction. */
    private void endTrial(List<Sample> trial, boolean higherIsUseless, int slots, long nowMillis) {
        boolean lowered = limit < limitBeforeTrial;
        if (higherIsUseless != lowered) {
            lowerIsWorse |= lowered;
            useless = lowered ? useless : limit;
            tryLower = !lowerIsWorse && limitBeforeTrial > 1;
            restoreLimit(limitBeforeTrial, nowMillis);
        } else if (lowered) {
            useless = limitBeforeTrial;
            tryLower = limit > 1;
            setLimit(limit, nowMillis);
        } else if (limit >= slots) {
            removeLimit();
        } else {
            lowerIsWorse = true;
            useless = limit < useless ? useless : slots + 1;
            setLimit(limit, nowMillis);
            trial.forEach(sample -> recordWithin(sample.paceMillis()));
            if (limit + 1 < useless) {
                startTrial(nextHigher(slots), nowMillis);
            }
        }
    }

    /** Returns the best fit if it has a bend within the slots beyond which the throughput does not grow. */
    private OptionalInt bend(int slots) {
        if (samples.size() < MIN_SAMPLES) {
            return OptionalInt.empty();
        }
        Fit best = null;
        List<double[]> points = new ArrayList<>();
        for (Sample sample : samples) {
            points.add(new double[] {Math.log(sample.load()), Math.log(sample.paceMillis())});
        }
        double lowestLoad = samples.stream().mapToDouble(Sample::load).min().orElse(1);
        for (int candidate = (int) lowestLoad; candidate < slots; candidate++) {
            Fit fit = fit(points, candidate);
            if (fit != null && (best == null || fit.error() <= best.error())) {
                best = fit;
            }
        }
        boolean bends = best != null
                && best.beyond() >= MIN_SAMPLES_BEYOND
                && best.slopeError() <= MAX_ERROR
                && best.slope() - REQUIRED_ERRORS * best.slopeError() >= MAX_SLOPE;
        return bends ? OptionalInt.of(best.bend()) : OptionalInt.empty();
    }

    /** Returns the line with a bend at a load; null if no load differs beyond it. */
    private static Fit fit(List<double[]> points, int bend) {
        double logBend = Math.log(bend);
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        double sumYy = 0;
        int beyond = 0;
        for (double[] point : points) {
            double x = Math.max(0, point[0] - logBend);
            sumX += x;
            sumY += point[1];
            sumXx += x * x;
            sumXy += x * point[1];
            sumYy += point[1] * point[1];
            beyond += x > DISTINCT_LOAD / 2 ? 1 : 0;
        }
        int count = points.size();
        double spread = sumXx - sumX * sumX / count;
        if (spread < DISTINCT_LOAD * DISTINCT_LOAD) {
            return null;
        }
        double slope = (sumXy - sumX * sumY / count) / spread;
        double error = Math.max(0, sumYy - sumY * sumY / count - slope * slope * spread);
        return new Fit(bend, slope, Math.sqrt(error / Math.max(1, count - 2) / spread), error, beyond);
    }
}
