package org.whinwharf.pgm.internal.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.status.NodeStatus;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TargetState;
import org.whinwharf.wire.status.TierQueue;

/** Sums up what the platform and the processes say. */
public final class FleetStatus {
    private static final String WARM = "warm";
    private static final String LEAVING = "leaving";
    private static final String UNKNOWN = "unknown";

    private final String environment;
    private final HostList hosts;
    private final Optional<Document> document;
    private final List<Fault> documentFaults;
    private final List<Reading> readings;
    private final List<SliceState> slices;
    private final Map<String, TargetState> targets = new TreeMap<>();

    /**
     * Takes what was read.
     *
     * @param environment name of the environment
     * @param hosts host list
     * @param published published document, or why it could not be read
     * @param readings what the processes said
     */
    public FleetStatus(String environment, HostList hosts, ReadResult<Document> published, List<Reading> readings) {
        this.environment = environment;
        this.hosts = hosts;
        this.document =
                published instanceof ReadResult.Valid<Document> valid ? Optional.of(valid.value()) : Optional.empty();
        this.documentFaults = published instanceof ReadResult.Invalid<Document> invalid ? invalid.faults() : List.of();
        this.readings = List.copyOf(readings);
        this.slices = new FleetLoad(hosts, statuses()).slices();
        for (SliceState slice : slices) {
            slice.getTargetsList().forEach(target -> targets.put(target.getName(), target));
        }
    }

    /**
     * Makes the report.
     *
     * @return report
     */
    public StatusReport call() {
        long published = document.map(Document::getGeneration).orElse(0L);
        long highest =
                statuses().stream().mapToLong(NodeStatus::getGeneration).max().orElse(0);
        return new StatusReport(
                environment,
                published,
                documentFaults.stream().map(Fault::text).toList(),
                highest,
                count(host -> host.getState() == HostState.LIVE),
                count(host -> host.getState() == HostState.LEAVING),
                centres(),
                services(),
                queues(),
                readings.stream().flatMap(FleetStatus::state).toList(),
                lagging(Math.max(published, highest)),
                unreachable());
    }

    private List<NodeStatus> statuses() {
        return readings.stream().flatMap(reading -> reading.status().stream()).toList();
    }

    private List<StatusReport.Centre> centres() {
        Set<String> names = new LinkedHashSet<>();
        document.ifPresent(known -> known.getDataCentresList().forEach(centre -> names.add(centre.getName())));
        hosts.getHostsList().forEach(host -> names.add(host.getDataCentre()));
        return names.stream().map(this::centre).toList();
    }

    private StatusReport.Centre centre(String name) {
        Predicate<Host> here = host -> host.getDataCentre().equals(name) && host.getState() == HostState.LIVE;
        return new StatusReport.Centre(
                name, inService(name), count(here.and(Host::hasEntry)), count(here.and(Host::hasTarget)));
    }

    private String inService(String name) {
        if (document.isEmpty()) {
            return UNKNOWN;
        }
        boolean in = document.get().getDataCentresList().stream()
                .filter(DataCentre::getInService)
                .anyMatch(centre -> centre.getName().equals(name));
        return in ? "in" : "out";
    }

    private List<StatusReport.ServiceTargets> services() {
        Map<String, List<Host>> groups = hosts.getHostsList().stream()
                .filter(Host::hasTarget)
                .collect(Collectors.groupingBy(
                        host -> host.getTarget().getService() + " " + host.getDataCentre(),
                        TreeMap::new,
                        Collectors.toList()));
        return groups.values().stream().map(this::serviceTargets).toList();
    }

    private StatusReport.ServiceTargets serviceTargets(List<Host> group) {
        Map<String, Integer> states = new TreeMap<>();
        int inFlight = 0;
        int limit = 0;
        for (Host host : group) {
            TargetState target = targets.getOrDefault(host.getName(), TargetState.getDefaultInstance());
            states.merge(stateOf(host, target), 1, Integer::sum);
            inFlight += target.getInFlight();
            limit += target.getLimit();
        }
        int warm = states.getOrDefault(WARM, 0);
        int leaving = states.getOrDefault(LEAVING, 0);
        int unknown = states.getOrDefault(UNKNOWN, 0);
        int cold = group.size() - warm - leaving - unknown;
        Host first = group.get(0);
        return new StatusReport.ServiceTargets(
                first.getTarget().getService(), first.getDataCentre(), warm, cold, leaving, unknown, inFlight, limit);
    }

    private static String stateOf(Host host, TargetState target) {
        if (host.getState() == HostState.LEAVING) {
            return LEAVING;
        }
        return target.getState().isEmpty() ? UNKNOWN : target.getState();
    }

    private List<StatusReport.Queue> queues() {
        Map<String, Map<Integer, Integer>> waiting = new TreeMap<>();
        for (SliceState slice : slices) {
            Map<Integer, Integer> byRank =
                    waiting.computeIfAbsent(slice.getService(), service -> new TreeMap<>((a, b) -> b - a));
            for (TierQueue queue : slice.getQueuesList()) {
                byRank.merge(queue.getTierRank(), queue.getWaiting(), Integer::sum);
            }
        }
        List<StatusReport.Queue> queues = new ArrayList<>();
        waiting.forEach((service, byRank) ->
                byRank.forEach((rank, count) -> queues.add(new StatusReport.Queue(service, tierName(rank), count))));
        return queues;
    }

    private String tierName(int rank) {
        return document.stream()
                .flatMap(known -> known.getTiersList().stream())
                .filter(tier -> tier.getRank() == rank)
                .map(Tier::getName)
                .findFirst()
                .orElse(Integer.toString(rank));
    }

    private static Stream<StatusReport.ProcessState> state(Reading reading) {
        return reading.status().stream()
                .map(status -> new StatusReport.ProcessState(
                        reading.host(),
                        reading.role(),
                        status.getDataCentre(),
                        status.getGeneration(),
                        status.getReady(),
                        status.getLeaving(),
                        status.getDocumentAgeMillis(),
                        List.copyOf(status.getReasonsList())));
    }

    private List<String> lagging(long highest) {
        return readings.stream()
                .filter(reading ->
                        reading.status().isPresent() && reading.status().get().getGeneration() < highest)
                .map(reading -> reading.host() + " " + reading.role() + " ("
                        + reading.status().get().getGeneration() + ")")
                .toList();
    }

    private List<String> unreachable() {
        return readings.stream()
                .filter(reading -> reading.status().isEmpty())
                .map(reading -> reading.host() + " " + reading.role() + ": " + reading.reason())
                .toList();
    }

    private int count(Predicate<Host> which) {
        return (int) hosts.getHostsList().stream().filter(which).count();
    }
}
