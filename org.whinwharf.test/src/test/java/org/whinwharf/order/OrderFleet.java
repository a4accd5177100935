package org.whinwharf.order;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.TargetInfo;

/** Builds host lists and documents for the tests of stewards. */
final class OrderFleet {
    static final String DATA_CENTRE = "martin-a";

    private OrderFleet() {}

    static List<Host> stewards(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(steward("entry-" + i));
        }
        return hosts;
    }

    static List<Host> engines(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(engine("engine-" + i));
        }
        return hosts;
    }

    static Host steward(String name) {
        return host(name).setEntry(EntryPorts.newBuilder().setStewardPeer(7005)).build();
    }

    static Host engine(String name) {
        return host(name)
                .setTarget(TargetInfo.newBuilder().setService("lampa-llm").setPort(8000))
                .build();
    }

    static Membership membership(long revision, List<Host> stewards, List<Host> engines) {
        HostList list = HostList.newBuilder()
                .setRevision(revision)
                .addAllHosts(stewards)
                .addAllHosts(engines)
                .build();
        Document dataCentres =
                Document.newBuilder().addDataCentres(dataCentre()).build();
        return Membership.of(list, dataCentres);
    }

    static DocumentView document(long generation, String version, boolean checksFencing) {
        Document document = SchemaChecker.complete(Document.newBuilder()
                .setGeneration(generation)
                .setEnvironment("trial")
                .addDataCentres(dataCentre())
                .addModels(Model.newBuilder().setName("lampa").setVersion(version))
                .addServices(ServiceSpec.newBuilder()
                        .setName("lampa-llm")
                        .setKind(ServiceKind.ENGINE)
                        .addModels("lampa")
                        .setChecksFencing(checksFencing))
                .addOrganisations(Organisation.newBuilder().setName("zber"))
                .addDeployments(Deployment.newBuilder()
                        .setName("all")
                        .setService("lampa-llm")
                        .addModels("lampa"))
                .build());
        return DocumentView.of(document, ByteString.copyFromUtf8("x").toByteArray());
    }

    private static DataCentre.Builder dataCentre() {
        return DataCentre.newBuilder()
                .setName(DATA_CENTRE)
                .setRegion("sk-central")
                .setInService(true);
    }

    private static Host.Builder host(String name) {
        return Host.newBuilder()
                .setName(name)
                .setAddress("127.0.0.1")
                .setDataCentre(DATA_CENTRE)
                .setState(HostState.LIVE);
    }
}
