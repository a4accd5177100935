package org.whinwharf.traffic.share;

import java.util.ArrayList;
import java.util.List;

/** Assigns virtual start times to queued requests, each organisation's one after the other. */
public final class ShareTags {
    private final RankShares shares;
    private final DigestIndex organisations = new DigestIndex();
    private final List<Tag> tags = new ArrayList<>();

    ShareTags(RankShares shares) {
        this.shares = shares;
    }

    private static final class Tag {
        private final double virtualPerSlotMilli;
        private double nextVirtualMillis;

        Tag(double startVirtualMillis, double virtualPerSlotMilli) {
            nextVirtualMillis = startVirtualMillis;
            this.virtualPerSlotMilli = virtualPerSlotMilli;
        }
    }

    /**
     * Returns the start time of the next request of an organisation, and assigns it to the request.
     *
     * @param request request that follows those already assigned
     * @return virtual time in milliseconds
     */
    public double assign(SharedRequest request) {
        int digest = request.organisationDigest();
        int index = organisations.indexOf(digest);
        if (index == tags.size()) {
            tags.add(new Tag(shares.startVirtualMillis(digest), shares.virtualPerSlotMilli(digest)));
        }
        Tag tag = tags.get(index);
        double startVirtualMillis = tag.nextVirtualMillis;
        tag.nextVirtualMillis += request.expectedSlotMillis() * tag.virtualPerSlotMilli;
        return startVirtualMillis;
    }
}
