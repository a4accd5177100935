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
            return least(candidates, candidate -> reported(candidate.account()));
        }
    },
    /** Takes the less loaded of two random targets. */
    TWO_CHOICES {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            Candidate one = candidates.get(state.random(candidates.size()));
            Candidate other = candidates.get(state.random(candidates.size()));
            return reported(other.account()) < reported(one.account()) ? other : one;
        }
    },
    /** Takes the target with the least expected time, counting the prefill that its cache spares. */
    SCORE {
        @Override
        public Candidate choose(List<Candidate> candidates, WaitingRequest waiting, PlacementState state) {
            Average average = Average.of(candidates);
            return least(candidates, candidate -> scoreMillis(candidate, waiting, average));
        }
    };

    private static final double CROWDING = 0.25;

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

    private static Candidate least(List<Candidate> candidates, ToDoubleFunction<Candidate> price) {
        return candidates.stream()
                .min(Comparator.comparingDouble(price)
                        .thenComparing(candidate -> candidate.account().name()))
                .orElseThrow();
    }

    private static int reported(TargetAccount account) {
        return account.lastReading().map(LoadReading::total).orElse(0);
    }

    private static double scoreMillis(Candidate candidate, WaitingRequest waiting, Average average) {
        TargetAccount account = candidate.account();
        int missing = account.prefixes().uncachedTokens(waiting.prefixes(), waiting.promptTokens());
        double aloneMillis = account.speed().hasSamples()
                ? account.speed().predictMillis(missing, waiting.answerTokens())
                : average.predictMillis(missing, waiting);
        double crowding = CROWDING * account.inFlight() / account.limit().value();
        return aloneMillis * (1 + crowding);
    }

    /** Speed of the targets that are known, which stands in for one that is not. */
    private record Average(List<TargetSpeed> known) {
        static Average of(List<Candidate> candidates) {
            return new Average(candidates.stream()
                    .map(candidate -> candidate.account().speed())
                    .filter(TargetSpeed::hasSamples)
                    .toList());
        }

        // Where no speed is known, the prefill that a cache spares is all that tells targets apart.
        double predictMillis(int missing, WaitingRequest waiting) {
            return known.stream()
                    .mapToDouble(speed -> speed.predictMillis(missing, waiting.answerTokens()))
                    .average()
                    .orElse(1 + missing);
        }
    }
}
