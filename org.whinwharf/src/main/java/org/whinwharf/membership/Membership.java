package org.whinwharf.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.membership.internal.Candidates;
import org.whinwharf.membership.internal.Owners;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;

/**
 * Immutable view of one revision of the host list under one document; safe for use by several threads.
 *
 * <p>Built once for each list revision or document generation. The constructor partitions the targets into slices; the
 * candidates and voters of a slice are computed on first use and cached.
 */
public final class Membership {
    /** Maximum mean number of targets per slice; a single slice may hold more. */
    public static final int MAX_MEAN_TARGETS_PER_SLICE = 8;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private static final int MAX_VOTERS = 9;

    private static final int MIN_VOTERS = 3;

    private final long revision;
    private final long generation;
    private final Map<String, Host> hosts;
    private final List<Host> entryHosts;
    private final Set<String> allowedAddresses;
    private final Map<String, Boolean> dataCentresInService;
    private final Map<SliceId, List<Host>> targetsBySlice;
    private final Map<String, List<SliceId>> slicesByService;
    private final Map<String, SliceId> sliceByTarget;
    private final Candidates ordering;
    private final Map<SliceId, Host> owners;
    private final Map<SliceId, List<Host>> candidates = new ConcurrentHashMap<>();
    private final Map<SliceId, List<Host>> voters = new ConcurrentHashMap<>();

    private Membership(HostList list, Document document) {
        revision = list.getRevision();
        generation = document.getGeneration();
        hosts = byName(list);
        dataCentresInService = new HashMap<>();
        Map<String, String> regions = new HashMap<>();
        for (DataCentre dataCentre : document.getDataCentresList()) {
            dataCentresInService.put(dataCentre.getName(), !dataCentre.hasInService() || dataCentre.getInService());
            regions.put(dataCentre.getName(), dataCentre.getRegion());
        }
        entryHosts = liveEntryHosts(hosts);
        allowedAddresses = addresses(hosts);
        ordering = new Candidates(entryHosts, regions);
        targetsBySlice = partitionIntoSlices(hosts);
        slicesByService = new HashMap<>();
        sliceByTarget = new HashMap<>();
        indexSlices();
        owners = Owners.assign(targetsBySlice.keySet(), ordering);
    }

    /**
     * Builds the view.
     *
     * @param list the published host list
     * @param document the document in force
     * @return the view
     */
    public static Membership of(HostList list, Document document) {
        return new Membership(list, document);
    }

    /**
     * Returns the revision of the host list.
     *
     * @return revision, as published
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the generation of the document that the view was built with.
     *
     * @return generation
     */
    public long generation() {
        return generation;
    }

    /**
     * Returns a host of the list, live or leaving.
     *
     * @param name name of the host
     * @return the host; empty when the list does not contain it
     */
    public Optional<Host> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /**
     * Returns whether a host is in the list and not leaving.
     *
     * @param name name of the host
     * @return true when the host is live
     */
    public boolean isLive(String name) {
        Host host = hosts.get(name);
        return host != null && live(host);
    }

    /**
     * Returns the live hosts that run whinwharf, ordered by name.
     *
     * @return hosts with entry ports
     */
    public List<Host> entryHosts() {
        return entryHosts;
    }

    /**
     * Returns all hosts that run whinwharf, live or leaving, ordered by name.
     *
     * @return hosts with entry ports
     */
    public List<Host> knownEntryHosts() {
        return hosts.values().stream().filter(Host::hasEntry).toList();
    }

    /**
     * Returns the addresses from which connections of other whinwharf processes are accepted.
     *
     * @return IP addresses of all listed hosts that run whinwharf, live or leaving
     */
    public Set<String> allowedAddresses() {
        return allowedAddresses;
    }

    /**
     * Returns whether a data centre may receive new requests.
     *
     * @param dataCentre name of the data centre
     * @return true when the document lists the data centre as in service
     */
    public boolean isInService(String dataCentre) {
        return dataCentresInService.getOrDefault(dataCentre, false);
    }

    /**
     * Returns whether a target may receive new requests: it is live and its data centre is in service.
     *
     * @param target name of the target
     * @return true when the target is usable
     */
    public boolean isUsable(String target) {
        Host host = hosts.get(target);
        return host != null && host.hasTarget() && live(host) && isInService(host.getDataCentre());
    }

    /**
     * Returns the slices of a service in all data centres, whether in service or not.
     *
     * @param service name of the service
     * @return slices, ordered by data centre and index
     */
    public List<SliceId> slices(String service) {
        return slicesByService.getOrDefault(service, List.of());
    }

    /**
     * Returns all slices.
     *
     * @return slices, ordered by service, data centre and index
     */
    public Set<SliceId> slices() {
        return targetsBySlice.keySet();
    }

    /**
     * Returns the targets of a slice, live or leaving.
     *
     * @param slice the slice
     * @return hosts, ordered by name; empty when there is no such slice
     */
    public List<Host> targets(SliceId slice) {
        return targetsBySlice.getOrDefault(slice, List.of());
    }

    /**
     * Returns the slice of a target.
     *
     * @param target name of the target
     * @return the slice; empty when the list has no such target
     */
    public Optional<SliceId> sliceOf(String target) {
        return Optional.ofNullable(sliceByTarget.get(target));
    }

    /**
     * Returns the hosts that may own a slice.
     *
     * @param slice the slice
     * @return live hosts that run whinwharf, the preferred owner first
     */
    public List<Host> candidates(SliceId slice) {
        return candidates.computeIfAbsent(slice, this::orderCandidates);
    }

    private List<Host> orderCandidates(SliceId slice) {
        List<Host> hashed = ordering.order(slice);
        Host owner = owners.get(slice);
        if (owner == null || hashed.get(0).equals(owner)) {
            return hashed;
        }
        List<Host> ordered = new ArrayList<>(hashed.size());
        ordered.add(owner);
        hashed.stream().filter(host -> !host.equals(owner)).forEach(ordered::add);
        return List.copyOf(ordered);
    }

    /**
     * Returns the preferred owner of a slice.
     *
     * @param slice the slice
     * @return the first candidate; empty when no live host runs whinwharf
     */
    public Optional<Host> preferredOwner(SliceId slice) {
        return candidates(slice).stream().findFirst();
    }

    /**
     * Returns the hosts whose pledges elect the owner of a slice.
     *
     * @param slice the slice
     * @return the first hosts in hash order: at most nine of the slice's data centre, filled up from other data centres
     *     to three; fewer when the list has fewer live hosts
     */
    public List<Host> voters(SliceId slice) {
        return voters.computeIfAbsent(slice, this::chooseVoters);
    }

    private List<Host> chooseVoters(SliceId slice) {
        List<Host> ordered = ordering.order(slice);
        int local = 0;
        while (local < ordered.size() && ordered.get(local).getDataCentre().equals(slice.getDataCentre())) {
            local++;
        }
        int count = Math.max(MIN_VOTERS, Math.min(MAX_VOTERS, local));
        return List.copyOf(ordered.subList(0, Math.min(count, ordered.size())));
    }

    private static boolean live(Host host) {
        return host.getState() == HostState.LIVE;
    }

    private static Map<String, Host> byName(HostList list) {
        Map<String, Host> hosts = new TreeMap<>();
        for (Host host : list.getHostsList()) {
            hosts.put(host.getName(), host);
        }
        return hosts;
    }

    private static List<Host> liveEntryHosts(Map<String, Host> hosts) {
        return hosts.values().stream()
                .filter(host -> host.hasEntry() && live(host))
                .toList();
    }

    private static Set<String> addresses(Map<String, Host> hosts) {
        Set<String> addresses = new HashSet<>();
        for (Host host : hosts.values()) {
            if (host.hasEntry()) {
                addresses.add(host.getAddress());
            }
        }
        return Set.copyOf(addresses);
    }

    private static Map<SliceId, List<Host>> partitionIntoSlices(Map<String, Host> hosts) {
        Map<SliceId, List<Host>> groups = new HashMap<>();
        for (Host host : hosts.values()) {
            if (host.hasTarget()) {
                SliceId whole = slice(host.getTarget().getService(), host.getDataCentre(), 0);
                groups.computeIfAbsent(whole, key -> new ArrayList<>()).add(host);
            }
        }
        Map<SliceId, List<Host>> slices = new TreeMap<>(Comparator.comparing(SliceId::getService)
                .thenComparing(SliceId::getDataCentre)
                .thenComparing(SliceId::getIndex));
        groups.forEach((whole, targets) -> partition(whole, targets, slices));
        return slices;
    }

    private static void partition(SliceId whole, List<Host> targets, Map<SliceId, List<Host>> slices) {
        int count = sliceCount(targets.size());
        for (Host target : targets) {
            int index =
                    HASH.hashString(target.getName(), StandardCharsets.UTF_8).asInt() & (count - 1);
            SliceId slice = slice(whole.getService(), whole.getDataCentre(), index);
            slices.computeIfAbsent(slice, key -> new ArrayList<>()).add(target);
        }
    }

    // A target that moves to another slice receives no requests until every process is certain to know of the move.
    // Assigning targets by their position in the list would move all others whenever one is added or removed. With a
    // hash and a power of two as the number of slices, a target moves only when that number doubles or halves.
    private static int sliceCount(int targets) {
        int count = 1;
        while (targets > count * MAX_MEAN_TARGETS_PER_SLICE) {
            count *= 2;
        }
        return count;
    }

    private static SliceId slice(String service, String dataCentre, int index) {
        return SliceId.newBuilder()
                .setService(service)
                .setDataCentre(dataCentre)
                .setIndex(index)
                .build();
    }

    private void indexSlices() {
        targetsBySlice.forEach((slice, targets) -> {
            slicesByService
                    .computeIfAbsent(slice.getService(), key -> new ArrayList<>())
                    .add(slice);
            targets.forEach(target -> sliceByTarget.put(target.getName(), slice));
        });
    }
}
