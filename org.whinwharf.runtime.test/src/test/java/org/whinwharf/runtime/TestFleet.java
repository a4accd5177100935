package org.whinwharf.runtime;

import com.google.protobuf.ByteString;
import java.util.List;
import org.whinwharf.document.DocumentWriter;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;

/** Makes documents and host lists for tests. */
public final class TestFleet {
    public static final String ENVIRONMENT = "trial";

    private TestFleet() {}

    public static byte[] document(long generation) {
        Document document = Document.newBuilder()
                .setGeneration(generation)
                .setEnvironment(ENVIRONMENT)
                .addDataCentres(DataCentre.newBuilder()
                        .setName("martin-a")
                        .setRegion("sk-central")
                        .setInService(true))
                .addTiers(Tier.newBuilder().setName("driver").setRank(1))
                .addModels(Model.newBuilder().setName("lampa").setVersion("1"))
                .addServices(ServiceSpec.newBuilder()
                        .setName("lampa-llm")
                        .setKind(ServiceKind.ENGINE)
                        .addModels("lampa"))
                .addOrganisations(Organisation.newBuilder()
                        .setName("zber")
                        .addCredentials(Credential.newBuilder()
                                .setSha256128(ByteString.copyFrom(new byte[16]))
                                .setTier("driver")))
                .addSealingKeys(SealingKey.newBuilder().setId(1).setKey(ByteString.copyFrom(new byte[32])))
                .build();
        return DocumentWriter.compact(SchemaChecker.complete(document));
    }

    public static HostList list(long revision, Host... hosts) {
        return HostList.newBuilder()
                .setRevision(revision)
                .addAllHosts(List.of(hosts))
                .build();
    }

    /** Describes a host that runs one scheduler. */
    public static Host host(String name, String address, int schedulerPeer) {
        return Host.newBuilder()
                .setName(name)
                .setAddress(address)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.newBuilder().setSchedulerPeer(schedulerPeer))
                .build();
    }
}
