package org.whinwharf.bench.dedupe;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.util.BitSet;

/**
 * Age-partitioned Bloom filter: a sliding window over a stream of keys in fixed memory. It may hold a key that was
 * never added, and it forgets a key once enough others came after it.
 *
 * <p>It has k active slices and l older ones. A key sets one bit in each active slice. After each generation of keys
 * the oldest slice is cleared and becomes the newest, so that every slice is filled by k generations. A key counts as
 * seen when k neighbouring slices have its bits.
 */
final class AgePartitionedFilter {
    private static final double LN_2 = Math.log(2);

    private final int active;
    private final int generationKeys;
    private final int sliceBits;
    private final BitSet[] slices;
    private int newest;
    private int inGeneration;

    /**
     * Creates an empty filter that remembers a key for at least so many others.
     *
     * @param active number of active slices, k
     * @param older number of older slices, l
     * @param windowKeys keys that may come before one is forgotten
     */
    AgePartitionedFilter(int active, int older, int windowKeys) {
        this.active = active;
        this.generationKeys = Math.max(1, (windowKeys + older - 1) / older);
        // A slice that took k generations shall be half full.
        this.sliceBits = (int) Math.ceil(active * generationKeys / LN_2);
        this.slices = new BitSet[active + older];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = new BitSet(sliceBits);
        }
    }

    long bytes() {
        return (long) slices.length * ((sliceBits + Long.SIZE - 1) / Long.SIZE) * Long.BYTES;
    }

    void add(long ticket, long number) {
        if (inGeneration == generationKeys) {
            newest = Math.floorMod(newest - 1, slices.length);
            slices[newest].clear();
            inGeneration = 0;
        }
        inGeneration++;
        long[] hash = hash(ticket, number);
        for (int age = 0; age < active; age++) {
            int slice = (newest + age) % slices.length;
            slices[slice].set(bit(hash, slice));
        }
    }

    boolean seen(long ticket, long number) {
        long[] hash = hash(ticket, number);
        int neighbours = 0;
        for (int age = 0; age < slices.length; age++) {
            int slice = (newest + age) % slices.length;
            neighbours = slices[slice].get(bit(hash, slice)) ? neighbours + 1 : 0;
            if (neighbours == active) {
                return true;
            }
        }
        return false;
    }

    private static long[] hash(long ticket, long number) {
        HashCode code = Hashing.murmur3_128()
                .newHasher()
                .putLong(ticket)
                .putLong(number)
                .hash();
        ByteBuffer bytes = ByteBuffer.wrap(code.asBytes());
        return new long[] {bytes.getLong(), bytes.getLong()};
    }

    /** Each slice has a hash function of its own, which it keeps while it ages. */
    private int bit(long[] hash, int slice) {
        return (int) Long.remainderUnsigned(hash[0] + slice * (hash[1] | 1), sliceBits);
    }
}
