package org.whinwharf.bench.internal;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.bench.PromptSpec;

/**
 * Endless sequence of requests at random times; the same seed gives the same sequence.
 *
 * <p>The name of the run stands in each prompt and body. Without it a second run with one seed would look like repeats
 * of the first to a checker that reads the record of targets that served both.
 */
final class Workload {
    private static final double SECOND_MICROS = 1e6;

    private final LoadProfile profile;
    private final double perSecond;
    private final String run;
    private final UniformRandomProvider random;
    private double nextMicros;
    private int count;

    Workload(LoadProfile profile, double perSecond, long seed, String run) {
        this.profile = profile;
        this.perSecond = perSecond;
        this.run = run;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Returns the next request; the time between two is exponentially distributed. */
    Plan next() {
        nextMicros += -Math.log1p(-random.nextDouble()) / perSecond * SECOND_MICROS;
        LoadProfile.Caller caller = pick(profile.callers(), LoadProfile.Caller::share);
        LoadProfile.Kind kind = pick(profile.kinds(), LoadProfile.Kind::share);
        String intent = run + "-" + count++;
        int template = random.nextInt(Math.max(1, kind.templates()));
        String shared = caller.organisation() + "/" + kind.name() + "/" + template;
        PromptSpec prompt = new PromptSpec(shared, kind.sharedCharacters(), intent, kind.promptCharacters());
        return new Plan(intent, (long) nextMicros, caller, kind, prompt);
    }

    private <T> T pick(List<T> choices, ToDoubleFunction<T> share) {
        double point = random.nextDouble() * choices.stream().mapToDouble(share).sum();
        for (T choice : choices) {
            point -= share.applyAsDouble(choice);
            if (point < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1);
    }
}
