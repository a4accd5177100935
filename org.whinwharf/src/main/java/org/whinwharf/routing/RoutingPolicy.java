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

/** Ways to choose among slices. {@link #AFFINITY} is the one in use, the others stand beside it for comparison. */
public enum RoutingPolicy {
    /** Any slice, with equal chance. */
    RANDOM {
        @Override
        SliceId pick(Choice choice) {
            return choice.randomOf(choice.slices());
        }
    },
    /** The slice with the least expected wait. */
    LEAST_WAIT {
        @Override
        SliceId pick(Choice choice) {
            return choice.leastOf(choice.slices(), choice::waitMillis);
        }
    },
    /** The roomier one of two random slices. */
    TWO_CHOICES {
        @Override
        SliceId pick(Choice choice) {
            return choice.moreAvailableOfTwo(choice.slices());
        }
    },
    /** Least of wait, distance and prefill that the slice's caches lack; near ties go to the roomier of two. */
    AFFINITY {
        @Override
        SliceId pick(Choice choice) {
            ToDoubleFunction<SliceId> score = choice.score();
            SliceId best = choice.leastOf(choice.slices(), score);
            double bound = score.applyAsDouble(best) + TIE_THRESHOLD_MILLIS;
            List<SliceId> near = choice.slices().stream()
                    .filter(slice -> score.applyAsDouble(slice) <= bound)
                    .toList();
            return choice.moreAvailableOfTwo(near);
        }
    };

    private static final double TIE_THRESHOLD_MILLIS = 1;
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;
    private static final HashFunction RENDEZVOUS = Hashing.murmur3_128();

    /**
     * Chooses a slice.
     *
     * @param slices slices to choose from; not empty
     * @param request the request
     * @param tracker what is known of slices
     * @param distance extra milliseconds to each data centre
     * @param random source of random numbers
     * @param nowMillis now
     * @return one of the slices
     */
    public SliceId choose(
            List<SliceId> slices,
            RoutingRequest request,
            SliceTracker board,
            ToDoubleFunction<String> distance,
            UniformRandomProvider random,
            long nowMillis) {
        List<SliceId> fertile = slices.stream()
                .filter(slice -> !board.hasNoUsableTarget(slice, nowMillis))
                .toList();
        List<SliceId> open = fertile.isEmpty() ? slices : fertile;
        return pick(new Choice(open, request, board, distance, random, nowMillis));
    }

    abstract SliceId pick(Choice choice);

    private record Choice(
            List<SliceId> slices,
            RoutingRequest request,
            SliceTracker tracker,
            ToDoubleFunction<String> distance,
            UniformRandomProvider random,
            long nowMillis) {
        SliceId randomOf(List<SliceId> among) {
            return among.get(random.nextInt(among.size()));
        }

        SliceId leastOf(List<SliceId> among, ToDoubleFunction<SliceId> measure) {
            return among.stream().min(Comparator.comparingDouble(measure)).orElseThrow();
        }

        SliceId moreAvailableOfTwo(List<SliceId> among) {
            if (among.size() == 1) {
                return among.get(0);
            }
            List<SliceId> others = new ArrayList<>(among);
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

        // A prefix that this host never sent goes where every host sends it: to the slice that the hash of the
        // shortest prefix ranks first. Otherwise each home would fill another engine's cache with the same prompt.
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
