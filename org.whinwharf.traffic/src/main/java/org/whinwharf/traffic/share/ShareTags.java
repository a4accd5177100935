package org.whinwharf.traffic.share;

import java.util.HashMap;
import java.util.Map;

/** Assigns virtual start times to queued requests, each organisation's one after the other. */
public final class ShareTags {
    private final RankShares shares;
    private final Map<Integer, Tag> tagsByOrganisation = new HashMap<>();

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
        Tag tag = tagsByOrganisation.get(digest);
        if (tag == null) {
            tag = new Tag(shares.startVirtualMillis(digest), shares.virtualPerSlotMilli(digest));
            tagsByOrganisation.put(digest, tag);
        }
        double startVirtualMillis = tag.nextVirtualMillis;
        tag.nextVirtualMillis += request.expectedSlotMillis() * tag.virtualPerSlotMilli;
        return startVirtualMillis;
    }
}
