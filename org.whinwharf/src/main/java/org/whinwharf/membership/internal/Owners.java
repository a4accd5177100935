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
 * Deals slices out to the hosts of their data centre: each to the first host by hash that has not got its part yet.
 *
 * <p>By hash alone some host owns three slices while most own none, and its messages a second are three times what a
 * host is meant to spend on control. With a bound on the slices of a host the busiest has as many as the mean, rounded
 * up.
 */
public final class Owners {
    private Owners() {}

    /**
     * Assigns slices to hosts.
     *
     * @param slices all slices, in an order that is the same in all processes
     * @param ordering order of the hosts for each slice
     * @return the host that is to own each slice; lacks slices for which there is no host
     */
    public static Map<SliceId, Host> assign(Collection<SliceId> slices, Candidates ordering) {
        Map<SliceId, Host> owners = new HashMap<>();
        for (List<SliceId> together : byDataCentre(slices).values()) {
            assignInDataCentre(together, ordering, owners);
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

    private static void assignInDataCentre(List<SliceId> together, Candidates ordering, Map<SliceId, Host> owners) {
        Map<String, Integer> owned = new HashMap<>();
        for (SliceId slice : together) {
            List<Host> nearest = ordering.nearest(slice);
            int bound = nearest.isEmpty() ? 0 : (together.size() + nearest.size() - 1) / nearest.size();
            for (Host host : nearest) {
                if (owned.getOrDefault(host.getName(), 0) < bound) {
                    owned.merge(host.getName(), 1, Integer::sum);
                    owners.put(slice, host);
                    break;
                }
            }
        }
    }
}
