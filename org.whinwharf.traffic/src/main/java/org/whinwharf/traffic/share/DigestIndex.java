package org.whinwharf.traffic.share;

import java.util.Arrays;

/** Numbers digests in the order in which they are first seen, without an object for each. */
final class DigestIndex {
    private static final int INITIAL_CAPACITY = 64;

    private int[] digests = new int[INITIAL_CAPACITY];
    private int[] table = emptyTable(2 * INITIAL_CAPACITY);
    private int size;

    private static int[] emptyTable(int length) {
        int[] table = new int[length];
        Arrays.fill(table, -1);
        return table;
    }

    /** Returns the number of a digest; a new one gets the next number. */
    int indexOf(int digest) {
        int slot = slotOf(digest);
        if (table[slot] < 0) {
            if (size == digests.length) {
                grow();
                slot = slotOf(digest);
            }
            digests[size] = digest;
            table[slot] = size++;
        }
        return table[slot];
    }

    private int slotOf(int digest) {
        int mixed = digest * 0x9E3779B9;
        int slot = (mixed ^ mixed >>> 16) & table.length - 1;
        while (table[slot] >= 0 && digests[table[slot]] != digest) {
            slot = slot + 1 & table.length - 1;
        }
        return slot;
    }

    private void grow() {
        digests = Arrays.copyOf(digests, 2 * digests.length);
        table = emptyTable(2 * digests.length);
        for (int index = 0; index < size; index++) {
            table[slotOf(digests[index])] = index;
        }
    }
}
