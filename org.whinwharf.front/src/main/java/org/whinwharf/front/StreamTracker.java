package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.stream.ImmutableStreamOrigin;
import org.whinwharf.traffic.stream.OriginProcess;
import org.whinwharf.traffic.stream.StreamKey;
import org.whinwharf.traffic.stream.StreamOrigin;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.stream.StreamOwners;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.TargetProcesses;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.ServiceVersionReport;
import org.whinwharf.wire.fleet.StreamOriginReport;

/**
 * Remembers at which software version streams began, and finds it out for streams that callers resume here.
 *
 * <p>A caller resumes a stream at any process, often just because the one that began it was killed. Each origin is
 * therefore sent to a few other processes, its owners, before the caller gets the first event. When the membership
 * changes, an origin is passed on to the processes that become its owners.
 */
final class StreamTracker {
    /** Number of other processes that remember an origin; a process that is killed is often not killed alone. */
    private static final int OWNERS = 3;
    /** Number of processes asked for an origin: the owners, and as many more as may have owned it before. */
    private static final int MAX_ASKED = 8;
    /** Time after which an unanswered question is repeated, since datagrams may be lost. */
    private static final long ASK_INTERVAL_MILLIS = 30;
    /** Number of times that a question is sent. */
    private static final int MAX_ASKS = 3;
    /** Time for which targets are asked again which process began a stream. */
    private static final long MAX_OPEN_MILLIS = 2_000;
    /** Maximum number of origins in one datagram; with usual names it stays below the usual MTU. */
    private static final int MAX_ORIGINS_PER_DATAGRAM = 24;

    /**
     * Result of a search for an origin.
     *
     * @param origin origin; empty if no process that answered knows it
     * @param source name of the process that knew it; empty if it was this process
     * @param silentProcesses number of processes that were asked and have not answered
     * @param onlyVersions services of which a process that was asked says that they can only have had one version, and
     *     that version; empty if two disagree
     */
    record Finding(
            Optional<StreamOrigin> origin, String source, int silentProcesses, Map<String, String> onlyVersions) {
        /** Creates the result for a stream that no process was asked for. */
        Finding(Optional<StreamOrigin> origin) {
            this(origin, "", 0, Map.of());
        }
    }

    /** Searches of one stream that wait for the answers of peers. */
    private static final class Search {
        private final List<Consumer<Finding>> consumers = new ArrayList<>();
        private final Map<String, String> silentIpsByName = new LinkedHashMap<>();
        private final Map<String, String> onlyVersions = new HashMap<>();
        private int asks;
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final PeerDatagrams datagrams;
    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final Supplier<Map<String, String>> onlyVersions;
    private final TargetProcesses processes;
    private final StreamOrigins origins = new StreamOrigins();
    /** Streams of this process whose first process is not known yet. */
    private final Set<StreamKey> open = new HashSet<>();

    private final Map<StreamKey, Search> searches = new HashMap<>();
    /** Addresses of the processes that may own streams, by their names, as of the last look at the membership. */
    private Map<String, String> ownerIps = Map.of();

    /**
     * Creates a tracker that remembers nothing.
     *
     * @param processes what is known of the processes that began streams
     * @param onlyVersions services whose targets can only have had one version for as long as callers follow a stream
     */
    StreamTracker(
            FrontSettings settings,
            MemberTable members,
            PeerDatagrams datagrams,
            EventLoopGroup loop,
            Ticker ticker,
            TargetProcesses processes,
            Supplier<Map<String, String>> onlyVersions) {
        this.onlyVersions = onlyVersions;
        this.processes = processes;
        this.settings = settings;
        this.members = members;
        this.datagrams = datagrams;
        this.loop = loop;
        this.ticker = ticker;
        datagrams.addListener(this::receive);
    }

    /** Returns the number of streams whose origins this process remembers. */
    int size() {
        return origins.size();
    }

    /** Records the origin of a stream, or that it is still followed, and sends it to its owners at once. */
    void record(StreamOrigin origin) {
        origins.record(origin, ticker.nowMillis());
        if (origin.unconfirmedProcess().isPresent()) {
            open.add(origin.key());
        } else {
            open.remove(origin.key());
        }
        if (ownerIps.isEmpty()) {
            updateOwners();
        }
        Set<String> ips = new LinkedHashSet<>();
        StreamOwners.of(origin.key(), ownerIps.keySet(), OWNERS).forEach(name -> ips.add(ownerIps.get(name)));
        if (!ips.isEmpty()) {
            datagrams.send(datagram().addStreamOrigins(toReport(origin)).build(), ips);
        }
    }

    /** Returns the targets that began streams of this process lately, of which it is not known which process did. */
    Set<String> openTargetIds() {
        long sinceMillis = ticker.nowMillis() - MAX_OPEN_MILLIS;
        return open.stream()
                .map(this::recorded)
                .flatMap(Optional::stream)
                .filter(origin -> origin.recordedAtMillis() >= sinceMillis)
                .filter(origin -> knowledgeOf(origin) == ProcessKnowledge.UNCONFIRMED)
                .map(StreamOrigin::unconfirmedProcess)
                .flatMap(Optional::stream)
                .map(OriginProcess::targetId)
                .collect(Collectors.toSet());
    }

    /** Records the origins of which the process that began the stream has become known. */
    void confirmOpen() {
        Set.copyOf(open).forEach(this::confirm);
    }

    /** Returns the number of streams of this process of which it is not known which process of a target began them. */
    int openCount() {
        return open.size();
    }

    /** Records the origin anew if the process that began the stream has become known. */
    void confirm(StreamKey key) {
        recorded(key).ifPresent(origin -> {
            boolean open = origin.unconfirmedProcess().isPresent();
            if (open && knowledgeOf(origin) == ProcessKnowledge.CONFIRMED) {
                record(ImmutableStreamOrigin.copyOf(origin)
                        .withUnconfirmedProcess(Optional.empty())
                        .withRecordedAtMillis(ticker.nowMillis()));
            }
        });
    }

    /**
     * Returns the origin of a stream as far as this process knows it; without a version if it is too late to find out
     * which of two processes began the stream.
     */
    Optional<StreamOrigin> known(StreamKey key) {
        return recorded(key)
                .map(origin -> knowledgeOf(origin) == ProcessKnowledge.REPLACED
                        ? ImmutableStreamOrigin.copyOf(origin).withVersion("")
                        : origin);
    }

    /** Returns the origin of a stream as it was recorded. */
    Optional<StreamOrigin> recorded(StreamKey key) {
        return origins.find(key, ticker.nowMillis());
    }

    /** Tells what is known of the process that began a stream. */
    ProcessKnowledge knowledgeOf(StreamOrigin origin) {
        return origin.unconfirmedProcess()
                .map(process -> processes.knowledge(
                        process.targetId(),
                        origin.service(),
                        process.startedUnixMillis(),
                        process.connectedAtMillis(),
                        ticker.nowMillis()))
                .orElse(ProcessKnowledge.CONFIRMED);
    }

    /** Finds the origin of a stream, and asks peers if this process does not know it. */
    void find(StreamKey key, Consumer<Finding> consumer) {
        Optional<StreamOrigin> known = known(key);
        if (known.isPresent()) {
            consumer.accept(new Finding(known));
            return;
        }
        Search running = searches.get(key);
        if (running != null) {
            running.consumers.add(consumer);
            return;
        }
        Search search = new Search();
        search.consumers.add(consumer);
        Map<String, String> ips = new HashMap<>();
        members.alive(ticker.nowMillis())
                .forEach(member ->
                        ips.put(member.report().getName(), member.report().getIp()));
        StreamOwners.of(key, ips.keySet(), MAX_ASKED).forEach(name -> search.silentIpsByName.put(name, ips.get(name)));
        searches.put(key, search);
        ask(key, search);
    }

    private void ask(StreamKey key, Search search) {
        if (searches.get(key) != search) {
            return;
        }
        if (search.silentIpsByName.isEmpty() || search.asks == MAX_ASKS) {
            conclude(key, Optional.empty(), "");
            return;
        }
        search.asks++;
        loop.schedule(() -> ask(key, search), ASK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        datagrams.send(datagram().addStreamsAsked(key.bits()).build(), search.silentIpsByName.values());
    }

    private void conclude(StreamKey key, Optional<StreamOrigin> origin, String source) {
        Search search = searches.remove(key);
        if (search != null) {
            Finding finding = new Finding(origin, source, search.silentIpsByName.size(), search.onlyVersions);
            search.consumers.forEach(consumer -> consumer.accept(finding));
        }
    }

    private void receive(FleetDatagram datagram, String senderIp) {
        long nowMillis = ticker.nowMillis();
        for (StreamOriginReport report : datagram.getStreamOriginsList()) {
            StreamOrigin origin = fromReport(report, nowMillis);
            origins.record(origin, nowMillis);
            conclude(origin.key(), known(origin.key()), datagram.getFrom());
        }
        for (long bits : datagram.getStreamsUnknownList()) {
            StreamKey key = new StreamKey(bits);
            Search search = searches.get(key);
            if (search != null && search.silentIpsByName.remove(datagram.getFrom()) != null) {
                datagram.getOnlyVersionsList()
                        .forEach(report -> search.onlyVersions.merge(
                                report.getService(),
                                report.getVersion(),
                                (known, next) -> known.equals(next) ? known : ""));
                if (search.silentIpsByName.isEmpty()) {
                    conclude(key, Optional.empty(), "");
                }
            }
        }
        if (datagram.getStreamsAskedCount() > 0) {
            answer(datagram.getStreamsAskedList(), senderIp);
        }
    }

    private void answer(List<Long> keys, String askerIp) {
        FleetDatagram.Builder answer = datagram();
        for (long bits : keys) {
            Optional<StreamOrigin> known = recorded(new StreamKey(bits));
            known.ifPresent(origin -> answer.addStreamOrigins(toReport(origin)));
            if (known.isEmpty()) {
                answer.addStreamsUnknown(bits);
            }
        }
        if (answer.getStreamsUnknownCount() > 0) {
            onlyVersions
                    .get()
                    .forEach((service, version) -> answer.addOnlyVersions(ServiceVersionReport.newBuilder()
                            .setService(service)
                            .setVersion(version)));
        }
        datagrams.send(answer.build(), askerIp);
    }

    /** Forgets streams that no caller follows any longer, and passes on origins whose owners have changed. */
    void sweep() {
        long nowMillis = ticker.nowMillis();
        open.removeIf(key -> origins.find(key, nowMillis).isEmpty());
        confirmOpen();
        updateOwners();
    }

    /** Passes origins on to processes that have become their owners, because others have come or gone. */
    private void updateOwners() {
        Map<String, String> current = new HashMap<>();
        for (Member member : members.alive(ticker.nowMillis())) {
            if (member.report().getPhase() == MemberPhase.MEMBER_SERVING) {
                current.put(member.report().getName(), member.report().getIp());
            }
        }
        if (current.equals(ownerIps)) {
            return;
        }
        Map<String, List<StreamOrigin>> newlyOwned = new HashMap<>();
        for (StreamOrigin origin : origins.all(ticker.nowMillis())) {
            Set<String> owners = new HashSet<>(StreamOwners.of(origin.key(), current.keySet(), OWNERS));
            StreamOwners.of(origin.key(), ownerIps.keySet(), OWNERS).forEach(owners::remove);
            owners.forEach(name ->
                    newlyOwned.computeIfAbsent(name, key -> new ArrayList<>()).add(origin));
        }
        ownerIps = current;
        newlyOwned.forEach((name, owned) -> send(owned, current.get(name)));
    }

    private void send(List<StreamOrigin> owned, String ip) {
        for (int from = 0; from < owned.size(); from += MAX_ORIGINS_PER_DATAGRAM) {
            FleetDatagram.Builder datagram = datagram();
            owned.subList(from, Math.min(owned.size(), from + MAX_ORIGINS_PER_DATAGRAM))
                    .forEach(origin -> datagram.addStreamOrigins(toReport(origin)));
            datagrams.send(datagram.build(), ip);
        }
    }

    private FleetDatagram.Builder datagram() {
        return FleetDatagram.newBuilder().setFrom(settings.name());
    }

    private StreamOriginReport toReport(StreamOrigin origin) {
        StreamOriginReport.Builder report = StreamOriginReport.newBuilder()
                .setStream(origin.key().bits())
                .setService(origin.service())
                .setVersion(origin.version())
                .setAgeMillis(ageMillis(origin.recordedAtMillis()));
        origin.unconfirmedProcess()
                .ifPresent(process -> report.setTarget(process.targetId())
                        .setStartedUnixMillis(process.startedUnixMillis())
                        .setConnectedMillis(ageMillis(process.connectedAtMillis())));
        return report.build();
    }

    private int ageMillis(long atMillis) {
        return (int) Math.max(0, ticker.nowMillis() - atMillis);
    }

    private static StreamOrigin fromReport(StreamOriginReport report, long nowMillis) {
        return ImmutableStreamOrigin.builder()
                .key(new StreamKey(report.getStream()))
                .service(report.getService())
                .version(report.getVersion())
                .unconfirmedProcess(
                        report.getTarget().isEmpty()
                                ? Optional.empty()
                                : Optional.of(new OriginProcess(
                                        report.getTarget(),
                                        report.getStartedUnixMillis(),
                                        nowMillis - report.getConnectedMillis())))
                .recordedAtMillis(nowMillis - report.getAgeMillis())
                .build();
    }
}
