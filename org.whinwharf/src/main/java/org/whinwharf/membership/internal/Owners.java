package org.whinwharf.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;

/**
 * Assigns each slice to a host of its nearest group: the first host in hash order that is below its limit.
 *
 * <p>With hashing alone, one host may own three slices while most own none, and its rate of control messages is then
 * three times what a host is meant to spend. The limit on the slices of a host is the mean, rounded up.
 */
public final class Owners {
    private Owners() {}

    /**
     * Assigns slices to hosts.
     *
     * @param slices all slices, in an order that is the same in all processes
     * @param ordering order of the hosts for each slice
     * @return the preferred owner of each slice; slices without an eligible host are absent
     */
    public static Map<SliceId, Host> assign(Collection<SliceId> slices, Candidates ordering) {
        Map<SliceId, Host> owners = new HashMap<>();
        for (List<SliceId> dataCentreSlices : byDataCentre(slices).values()) {
            assignInDataCentre(dataCentreSlices, ordering, owners);
        }
        return owners;
    }

    private static Map<String, List<SliceId>> byDataCentre(Collection<SliceId> slices) {
        Map<String, List<SliceId>> byDataCentre = new TreeMap<>();
        for (SliceId slice : slices) {
            byDataCentre
                    .computeIfAbsent(slice.getDataCentre(), key -> new ArrayList<>())
                    .add(slice);
        }
        return byDataCentre;
    }

    private static void assignInDataCentre(List<SliceId> slices, Candidates ordering, Map<SliceId, Host> owners) {
        Map<String, Integer> sliceCounts = new HashMap<>();
        for (SliceId slice : slices) {
            List<Host> nearest = ordering.nearest(slice);
            int maxSlices = nearest.isEmpty() ? 0 : (slices.size() + nearest.size() - 1) / nearest.size();
            for (Host host : nearest) {
                if (sliceCounts.getOrDefault(host.getName(), 0) < maxSlices) {
                    sliceCounts.merge(host.getName(), 1, Integer::sum);
                    owners.put(slice, host);
                    break;
                }
            }
        }
    }
}
