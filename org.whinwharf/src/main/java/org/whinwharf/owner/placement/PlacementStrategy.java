package org.whinwharf.owner.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.whinwharf.owner.limit.LoadReading;
import org.whinwharf.owner.limit.TargetAccount;
import org.whinwharf.owner.queue.WaitingRequest;

/** Ways to choose among the targets of a slice that have a free slot. */
public enum PlacementStrategy {
    /** Takes the targets in turn. */
    ROUND_ROBIN {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            return candidates.get(state.nextInTurn(candidates.size()));
        }
    },
    /** Takes the target that last reported the least load. */
    LEAST_REPORTED {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            return minBy(candidates, candidate -> reportedLoad(candidate.account()));
        }
    },
    /** Takes the less loaded of two random targets. */
    TWO_CHOICES {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            Candidate one = candidates.get(state.random(candidates.size()));
            Candidate other = candidates.get(state.random(candidates.size()));
            return reportedLoad(other.account()) < reportedLoad(one.account()) ? other : one;
        }
    },
    /** Takes the target with the least expected time, counting the prefill that its cache spares. */
    SCORE {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            AverageSpeed average = AverageSpeed.of(candidates);
            return minBy(candidates, candidate -> scoreMillis(candidate, waiting, average));
        }
    };

    private static final double CROWDING_WEIGHT = 0.25;

    /**
     * Finds a way by its name in the settings.
     *
     * @param name name in lower case with hyphens, as the schema allows it
     * @return the way
     * @throws IllegalArgumentException when there is none of this name
     */
    public static PlacementStrategy fromSetting(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /**
     * Chooses a target.
     *
     * @param candidates targets with a free slot, at least one
     * @param waiting the request
     * @param state what is remembered between choices
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

    /** Speed of the targets that are known, which stands in for one that is not. */
    private record AverageSpeed(List<TargetSpeed> speeds) {
        static AverageSpeed of(List<Candidate> candidates) {
            return new AverageSpeed(candidates.stream()
                    .map(candidate -> candidate.account().speed())
                    .filter(TargetSpeed::hasSamples)
                    .toList());
        }

        // Where no speed is known, the prefill that a cache spares is all that tells targets apart.
        double predictMillis(int uncachedTokens, WaitingRequest waiting) {
            return speeds.stream()
                    .mapToDouble(speed -> speed.predictMillis(uncachedTokens, waiting.answerTokens()))
                    .average()
                    .orElse(1 + uncachedTokens);
        }
    }
}
