package org.whinwharf.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Limits;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.TargetInfo;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

/**
 * Size of a fleet.
 *
 * @param hosts hosts that run whinwharf
 * @param targets targets of all services
 * @param services services
 * @param dataCentres data centres
 * @param requestsPerSecond requests that the whole fleet gets
 */
record Size(int hosts, int targets, int services, int dataCentres, double requestsPerSecond) {
    private static final int REGIONS = 2;
    private static final int TIERS = 4;

    /** Sizes measured: today's, a quarter and the whole of what is designed for. */
    static final List<Size> ALL =
            List.of(new Size(7, 17, 2, 4, 30), new Size(100, 150, 5, 5, 825), new Size(410, 600, 19, 5, 3300));

    Membership membership() {
        return Membership.of(hostList(), document());
    }

    HostList hostList() {
        HostList.Builder list = HostList.newBuilder().setRevision(1);
        for (int i = 0; i < hosts; i++) {
            list.addHosts(Host.newBuilder()
                    .setName(hostName(i))
                    .setAddress("127.1." + i / 250 + "." + i % 250)
                    .setDataCentre(dataCentre(i))
                    .setState(HostState.LIVE)
                    .setEntry(EntryPorts.newBuilder().setSchedulerPeer(7002)));
        }
        for (int i = 0; i < targets; i++) {
            list.addHosts(Host.newBuilder()
                    .setName("target-" + i)
                    .setAddress("127.2." + i / 250 + "." + i % 250)
                    .setDataCentre(dataCentre(i / services))
                    .setState(HostState.LIVE)
                    .setTarget(TargetInfo.newBuilder()
                            .setService(service(i))
                            .setPort(8100)
                            .setHardware("h" + i % 4)));
        }
        return list.build();
    }

    Document document() {
        Document.Builder document = Document.newBuilder()
                .setGeneration(1)
                .setEnvironment("trial")
                .setTiming(Timing.newBuilder()
                        .setGrantMillis(1000)
                        .setPledgeMillis(2000)
                        .setListLagMillis(2000)
                        .setLoadLagMillis(1000)
                        .setClockRatePpm(1000)
                        .setFloorWaitMillis(500));
        for (int i = 0; i < dataCentres; i++) {
            document.addDataCentres(DataCentre.newBuilder()
                    .setName(dataCentre(i))
                    .setRegion("region-" + i % REGIONS)
                    .setInService(true));
        }
        for (int i = 0; i < TIERS; i++) {
            document.addTiers(Tier.newBuilder().setName("tier-" + i).setRank(i));
        }
        for (int i = 0; i < services; i++) {
            document.addServices(ServiceSpec.newBuilder()
                    .setName(service(i))
                    .setKind(ServiceKind.ENGINE)
                    .addModels("model-" + i)
                    .setMaxWaiting(200)
                    .setLimits(Limits.newBuilder().setCold(4).setMost(64).setSlowFactor(2)));
        }
        return document.build();
    }

    List<String> hostNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            names.add(hostName(i));
        }
        return names;
    }

    private String dataCentre(int i) {
        return "dc-" + i % dataCentres;
    }

    private String service(int i) {
        return "service-" + i % services;
    }

    private static String hostName(int i) {
        return "entry-" + i;
    }
}
