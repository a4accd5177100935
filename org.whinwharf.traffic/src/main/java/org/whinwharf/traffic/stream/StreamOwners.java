package org.whinwharf.traffic.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.whinwharf.traffic.placement.Rendezvous;

/**
 * Assigns each stream to a few processes that remember its origin, by rendezvous hashing. Processes whose membership
 * views differ by one or two members agree on most owners of a stream.
 */
public final class StreamOwners {
    private StreamOwners() {}

    /**
     * Returns the processes that own a stream.
     *
     * @param key stream
     * @param processNames names of the processes to choose from
     * @param maxCount maximum number of owners
     * @return names, the first in rank first
     */
    public static List<String> of(StreamKey key, Collection<String> processNames, int maxCount) {
        String text = Long.toHexString(key.bits());
        List<Ranked> best = new ArrayList<>(maxCount + 1);
        for (String name : processNames) {
            Ranked next = new Ranked(name, Rendezvous.weight(name, text));
            int rank = best.size();
            while (rank > 0 && next.precedes(best.get(rank - 1))) {
                rank--;
            }
            if (rank < maxCount) {
                best.add(rank, next);
                if (best.size() > maxCount) {
                    best.remove(maxCount);
                }
            }
        }
        return best.stream().map(Ranked::name).toList();
    }

    private record Ranked(String name, long weight) {
        boolean precedes(Ranked other) {
            return weight != other.weight ? weight > other.weight : name.compareTo(other.name) < 0;
        }
    }
}
