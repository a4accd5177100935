package org.whinwharf.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.whinwharf.wire.message.SliceId;

/** Policies that select a slice. The entry process uses {@link #AFFINITY}; the others serve for comparison. */
public enum RoutingPolicy {
    /** Selects a slice at random, with equal probability. */
    RANDOM {
        @Override
        SliceId pick(Choice choice) {
            return choice.randomOf(choice.slices());
        }
    },
    /** Selects the slice with the shortest estimated wait. */
    LEAST_WAIT {
        @Override
        SliceId pick(Choice choice) {
            return choice.leastOf(choice.slices(), choice::waitMillis);
        }
    },
    /** Selects the one of two random slices that has more available slots. */
    TWO_CHOICES {
        @Override
        SliceId pick(Choice choice) {
            return choice.moreAvailableOfTwo(choice.slices());
        }
    },
    /**
     * Selects the slice with the lowest sum of estimated wait and distance, less the prefill time that a cached prefix
     * saves. Among near ties it takes the one of two random slices that has more available slots.
     */
    AFFINITY {
        @Override
        SliceId pick(Choice choice) {
            ToDoubleFunction<SliceId> score = choice.score();
            SliceId best = choice.leastOf(choice.slices(), score);
            double maxScore = score.applyAsDouble(best) + TIE_THRESHOLD_MILLIS;
            List<SliceId> nearTies = choice.slices().stream()
                    .filter(slice -> score.applyAsDouble(slice) <= maxScore)
                    .toList();
            return choice.moreAvailableOfTwo(nearTies);
        }
    };

    private static final double TIE_THRESHOLD_MILLIS = 1;
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;
    private static final HashFunction RENDEZVOUS = Hashing.murmur3_128();

    /**
     * Selects a slice.
     *
     * @param slices candidates; not empty
     * @param request the request
     * @param tracker status of the slices as this host knows it
     * @param distance extra latency to each data centre, in milliseconds
     * @param random source of random numbers
     * @param nowMillis current time of the monotonic clock, in milliseconds
     * @return one of the slices
     */
    public SliceId choose(
            List<SliceId> slices,
            RoutingRequest request,
            SliceTracker tracker,
            ToDoubleFunction<String> distance,
            UniformRandomProvider random,
            long nowMillis) {
        List<SliceId> withTarget = slices.stream()
                .filter(slice -> !tracker.hasNoUsableTarget(slice, nowMillis))
                .toList();
        List<SliceId> candidates = withTarget.isEmpty() ? slices : withTarget;
        return pick(new Choice(candidates, request, tracker, distance, random, nowMillis));
    }

    abstract SliceId pick(Choice choice);

    private record Choice(
            List<SliceId> slices,
            RoutingRequest request,
            SliceTracker tracker,
            ToDoubleFunction<String> distance,
            UniformRandomProvider random,
            long nowMillis) {
        SliceId randomOf(List<SliceId> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }

        SliceId leastOf(List<SliceId> candidates, ToDoubleFunction<SliceId> measure) {
            return candidates.stream().min(Comparator.comparingDouble(measure)).orElseThrow();
        }

        SliceId moreAvailableOfTwo(List<SliceId> candidates) {
            if (candidates.size() == 1) {
                return candidates.get(0);
            }
            List<SliceId> others = new ArrayList<>(candidates);
            SliceId one = others.remove(random.nextInt(others.size()));
            SliceId other = randomOf(others);
            return tracker.availableSlots(one) >= tracker.availableSlots(other) ? one : other;
        }

        double waitMillis(SliceId slice) {
            return tracker.estimatedWaitMillis(slice, request.tierRank(), nowMillis);
        }

        ToDoubleFunction<SliceId> score() {
            SliceTracker.SharedPrefix cached = cachedPrefix();
            return slice -> waitMillis(slice)
                    + distance.applyAsDouble(slice.getDataCentre())
                    - (cached != null && cached.slice().equals(slice) ? cached.tokens() * PREFILL_MILLIS_PER_TOKEN : 0);
        }

        // A prefix that this host has not sent before is assigned by rendezvous hashing of the shortest prefix, so that
        // all hosts send it to the same slice. Otherwise each home would fill a different engine's cache with the same
        // prompt.
        private SliceTracker.SharedPrefix cachedPrefix() {
            return tracker.longestSharedPrefix(request)
                    .filter(shared -> slices.contains(shared.slice()))
                    .orElseGet(this::firstByHash);
        }

        private SliceTracker.SharedPrefix firstByHash() {
            if (request.prefixes().isEmpty()) {
                return null;
            }
            long prefix = request.prefixes().get(0);
            SliceId first = leastOf(slices, slice -> -weight(prefix, slice));
            return new SliceTracker.SharedPrefix(first, PrefixDigests.TOKENS_PER_DIGEST);
        }

        private static double weight(long prefix, SliceId slice) {
            String place = slice.getService() + "/" + slice.getDataCentre() + "/" + slice.getIndex();
            return RENDEZVOUS
                    .newHasher()
                    .putLong(prefix)
                    .putString(place, StandardCharsets.UTF_8)
                    .hash()
                    .asLong();
        }
    }
}
