package org.whinwharf.owner;

import java.util.Collection;
import java.util.List;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.queue.WaitingRequest;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Limits;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.TargetInfo;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

/** Builds the document and the membership of a small fleet with one service. */
final class Fixtures {
    static final String SERVICE = "llm";
    static final SliceId SLICE =
            SliceId.newBuilder().setService(SERVICE).setDataCentre("a").build();
    static final Timings TIMINGS = new Timings(500, 1000, 800, 400, 1000, 200);

    private Fixtures() {}

    static WaitingRequest waiting(long request, int rank, String organisation, int answerTokens, long arrivedAtMillis) {
        return new WaitingRequest(
                new ProcessId("h0", 1),
                request,
                rank,
                organisation,
                1,
                "",
                0,
                answerTokens,
                List.of(),
                arrivedAtMillis + 60_000,
                arrivedAtMillis);
    }

    static Document document(int maxLimit, int maxWaiting) {
        return Document.newBuilder()
                .setGeneration(1)
                .addDataCentres(DataCentre.newBuilder().setName("a").setRegion("r"))
                .addDataCentres(DataCentre.newBuilder().setName("b").setRegion("r"))
                .addTiers(Tier.newBuilder().setName("low").setRank(0))
                .addTiers(Tier.newBuilder().setName("middle").setRank(1))
                .addTiers(Tier.newBuilder().setName("high").setRank(2))
                .addServices(ServiceSpec.newBuilder()
                        .setName(SERVICE)
                        .setMaxWaiting(maxWaiting)
                        .setLimits(
                                Limits.newBuilder().setCold(1).setMost(maxLimit).setSlowFactor(2)))
                .setTiming(Timing.newBuilder()
                        .setGrantMillis(TIMINGS.grantMillis())
                        .setPledgeMillis(TIMINGS.pledgeMillis())
                        .setListLagMillis(TIMINGS.listLagMillis())
                        .setLoadLagMillis(TIMINGS.loadLagMillis())
                        .setClockRatePpm(TIMINGS.clockRatePpm())
                        .setFloorWaitMillis(TIMINGS.floorWaitMillis()))
                .build();
    }

    static Document outOfService(Document document) {
        Document.Builder changed = document.toBuilder().setGeneration(document.getGeneration() + 1);
        changed.getDataCentresBuilder(0).setInService(false);
        return changed.build();
    }

    /** Creates a view in which hosts whose names begin with b are in data centre b, all others in data centre a. */
    static Membership membership(long revision, Document document, Collection<String> hosts, List<String> targets) {
        HostList.Builder list = HostList.newBuilder().setRevision(revision);
        for (String host : hosts) {
            list.addHosts(host(host).setEntry(EntryPorts.getDefaultInstance()));
        }
        for (String target : targets) {
            list.addHosts(host(target)
                    .setTarget(TargetInfo.newBuilder().setService(SERVICE).setPort(1)));
        }
        return Membership.of(list.build(), document);
    }

    private static Host.Builder host(String name) {
        return Host.newBuilder()
                .setName(name)
                .setAddress("127.0.0.1")
                .setDataCentre(name.startsWith("b") ? "b" : "a")
                .setState(HostState.LIVE);
    }
}
