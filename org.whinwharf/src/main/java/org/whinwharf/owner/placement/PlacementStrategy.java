package org.whinwharf.owner.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.whinwharf.owner.limit.LoadReading;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.queue.WaitingRequest;

/** Strategies that choose a target among those of a slice with a free slot. */
public enum PlacementStrategy {
    /** Chooses the targets in turn. */
    ROUND_ROBIN {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            return candidates.get(state.nextInTurn(candidates.size()));
        }
    },
    /** Chooses the target with the least load in its latest reading. */
    LEAST_REPORTED {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            return minBy(candidates, candidate -> reportedLoad(candidate.account()));
        }
    },
    /** Chooses the less loaded of two random targets. */
    TWO_CHOICES {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            Candidate one = candidates.get(state.random(candidates.size()));
            Candidate other = candidates.get(state.random(candidates.size()));
            return reportedLoad(other.account()) < reportedLoad(one.account()) ? other : one;
        }
    },
    /** Chooses the target with the shortest predicted time, taking into account the prefill that its cache saves. */
    SCORE {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            AverageSpeed average = AverageSpeed.of(candidates);
            return minBy(candidates, candidate -> scoreMillis(candidate, waiting, average));
        }
    };

    private static final double CROWDING_WEIGHT = 0.25;

    /**
     * Returns the strategy with a name from the settings.
     *
     * @param name name in lower case with hyphens, as the schema defines it
     * @return the strategy
     * @throws IllegalArgumentException when no strategy has this name
     */
    public static PlacementStrategy fromSetting(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /**
     * Chooses a target.
     *
     * @param candidates targets with a free slot, at least one
     * @param waiting request to place
     * @param state state kept between choices
     * @return one of the candidates
     */
    public abstract Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state);

    private static Candidate minBy(List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
        return candidates.stream()
                .min(Comparator.comparingDouble(cost)
                        .thenComparing(candidate -> candidate.account().name()))
                .orElseThrow();
    }

    private static int reportedLoad(TargetAccount account) {
        return account.lastReading().map(LoadReading::total).orElse(0);
    }

    private static double scoreMillis(Candidate candidate, WaitingRequest waiting, AverageSpeed average) {
        TargetAccount account = candidate.account();
        int uncachedTokens = account.prefixes().uncachedTokens(waiting.prefixes(), waiting.promptTokens());
        double aloneMillis = account.speed().hasSamples()
                ? account.speed().predictMillis(uncachedTokens, waiting.answerTokens())
                : average.predictMillis(uncachedTokens, waiting);
        double crowding = CROWDING_WEIGHT * account.inFlight() / account.limit().value();
        return aloneMillis * (1 + crowding);
    }

    /** Average speed of the targets with samples, used for targets without any. */
    private record AverageSpeed(List<TargetSpeed> speeds) {
        static AverageSpeed of(List<Candidate> candidates) {
            return new AverageSpeed(candidates.stream()
                    .map(candidate -> candidate.account().speed())
                    .filter(TargetSpeed::hasSamples)
                    .toList());
        }

        // While no target has a sample, targets differ only by the prefill that their caches save.
        double predictMillis(int uncachedTokens, WaitingRequest waiting) {
            return speeds.stream()
                    .mapToDouble(speed -> speed.predictMillis(uncachedTokens, waiting.answerTokens()))
                    .average()
                    .orElse(1 + uncachedTokens);
        }
    }
}
