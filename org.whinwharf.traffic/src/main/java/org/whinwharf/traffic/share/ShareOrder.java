package org.whinwharf.traffic.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;

/**
 * Order of queued requests by the shares of their organisations. A pass over a queue usually needs its first few
 * requests only; the others are not sorted.
 *
 * @param <R> type of the requests
 */
public final class ShareOrder<R extends SharedRequest> {
    private static final int END = -1;

    private final RankShares shares;
    private final List<R> requests;
    private final int[] nextOfSameOrganisation;
    private final boolean[] taken;
    private final PriorityQueue<Chain> chains =
            new PriorityQueue<>(Comparator.comparingDouble((Chain chain) -> chain.startVirtualMillis)
                    .thenComparingInt(chain -> chain.head));
    private Chain current;
    private boolean sharesIgnored;
    private int position;
    private int left;

    /** The remaining requests of one organisation. */
    private static final class Chain {
        private final int organisationDigest;
        private double startVirtualMillis;
        private int head;
        private int tail;

        Chain(int organisationDigest, int head) {
            this.organisationDigest = organisationDigest;
            this.head = head;
            tail = head;
        }
    }

    ShareOrder(RankShares shares, List<R> requests) {
        this.shares = shares;
        this.requests = requests;
        nextOfSameOrganisation = new int[requests.size()];
        taken = new boolean[requests.size()];
        left = requests.size();
        DigestIndex organisations = new DigestIndex();
        List<Chain> all = new ArrayList<>();
        int index = 0;
        for (R request : requests) {
            nextOfSameOrganisation[index] = END;
            int number = organisations.indexOf(request.organisationDigest());
            if (number == all.size()) {
                all.add(new Chain(request.organisationDigest(), index));
            } else {
                Chain chain = all.get(number);
                nextOfSameOrganisation[chain.tail] = index;
                chain.tail = index;
            }
            index++;
        }
        all.forEach(this::push);
    }

    private void push(Chain chain) {
        if (chain.head != END) {
            chain.startVirtualMillis = shares.startVirtualMillis(chain.organisationDigest);
            chains.add(chain);
        }
    }

    /** Returns the remaining requests in the given order from now on. */
    public void ignoreShares() {
        sharesIgnored = true;
    }

    /**
     * Tells whether there are further requests.
     *
     * @return false if all were returned
     */
    public boolean hasNext() {
        return left > 0;
    }

    /**
     * Returns the next request. The charge of the one before counts if it was made.
     *
     * @return request
     */
    public R next() {
        if (left == 0) {
            throw new NoSuchElementException();
        }
        left--;
        if (sharesIgnored) {
            while (taken[position]) {
                position++;
            }
            return requests.get(position++);
        }
        if (current != null) {
            push(current);
        }
        current = chains.remove();
        int index = current.head;
        current.head = nextOfSameOrganisation[index];
        taken[index] = true;
        return requests.get(index);
    }
}
