package org.whinwharf.membership.internal;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Host;

/** Orders the hosts that may own a slice: nearest group first, rendezvous hashing inside a group. */
public final class Candidates {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private final List<Host> hosts;
    private final Map<String, String> regions;

    /**
     * Creates the ordering for one host list.
     *
     * @param hosts live hosts that run whinwharf
     * @param regions region of each data centre, by its name
     */
    public Candidates(List<Host> hosts, Map<String, String> regions) {
        this.hosts = hosts;
        this.regions = regions;
    }

    /**
     * Orders the hosts for a slice.
     *
     * @param slice the slice
     * @return all hosts, the most preferred first
     */
    public List<Host> order(SliceId slice) {
        List<Ranked> ranked = new ArrayList<>(hosts.size());
        for (Host host : hosts) {
            ranked.add(new Ranked(host, group(host, slice), weight(host, slice)));
        }
        ranked.sort(Ranked.ORDER);
        return ranked.stream().map(Ranked::host).toList();
    }

    /**
     * Returns the hosts of the nearest group that is not empty.
     *
     * @param slice the slice
     * @return hosts of the slice's data centre, or of its region, or all, ordered as by {@link #order}
     */
    List<Host> nearest(SliceId slice) {
        List<Host> ordered = order(slice);
        if (ordered.isEmpty()) {
            return ordered;
        }
        int nearest = group(ordered.get(0), slice);
        return ordered.stream().filter(host -> group(host, slice) == nearest).toList();
    }

    private int group(Host host, SliceId slice) {
        if (host.getDataCentre().equals(slice.getDataCentre())) {
            return 0;
        }
        String region = regions.get(slice.getDataCentre());
        return region != null && region.equals(regions.get(host.getDataCentre())) ? 1 : 2;
    }

    private static long weight(Host host, SliceId slice) {
        String key = host.getName() + "/" + slice.getService() + "/" + slice.getDataCentre() + "/" + slice.getIndex();
        return HASH.hashString(key, StandardCharsets.UTF_8).asLong();
    }

    private record Ranked(Host host, int group, long weight) {
        // Names break ties, so that every process computes the same order, independent of the order of the list.
        private static final Comparator<Ranked> ORDER = Comparator.comparingInt(Ranked::group)
                .thenComparing(Comparator.comparingLong(Ranked::weight).reversed())
                .thenComparing(ranked -> ranked.host().getName());
    }
}
