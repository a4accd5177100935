package org.whinwharf.document;

import com.google.protobuf.ByteString;
import java.util.Random;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.CallSpec;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;

/** Builds documents for tests. */
final class TestDocuments {
    static final String ENVIRONMENT = "trial";

    private TestDocuments() {}

    static Document.Builder valid(long generation) {
        return Document.newBuilder()
                .setGeneration(generation)
                .setEnvironment(ENVIRONMENT)
                .addDataCentres(dataCentre("zilina-a", true))
                .addDataCentres(dataCentre("martin-a", true))
                .addTiers(Tier.newBuilder().setName("inspector").setRank(2))
                .addTiers(Tier.newBuilder().setName("driver").setRank(1))
                .addModels(Model.newBuilder().setName("lampa").setVersion("1"))
                .addServices(ServiceSpec.newBuilder()
                        .setName("lampa-llm")
                        .setKind(ServiceKind.ENGINE)
                        .addModels("lampa"))
                .addServices(ServiceSpec.newBuilder()
                        .setName("zber-app")
                        .setKind(ServiceKind.PLAIN)
                        .addCalls(CallSpec.newBuilder().setName("book-pickup")))
                .addOrganisations(organisation("kraj", credential("inspector-key", "inspector")))
                .addOrganisations(organisation("zber", credential("driver-key", "driver")))
                .addSealingKeys(SealingKey.newBuilder().setId(1).setKey(ByteString.copyFrom(new byte[32])))
                .addDeployments(Deployment.newBuilder()
                        .setName("all")
                        .setService("lampa-llm")
                        .addModels("lampa"));
    }

    static byte[] published(long generation) {
        return published(valid(generation));
    }

    static byte[] published(Document.Builder document) {
        return DocumentWriter.compact(SchemaChecker.complete(document.build()));
    }

    /** Makes a document with many organisations of plausible names, one credential each. */
    static Document many(int organisations, long seed) {
        Random random = new Random(seed);
        Document.Builder document = valid(1).clearOrganisations();
        for (int i = 0; i < organisations; i++) {
            byte[] hash = new byte[Credentials.HASH_BYTES];
            random.nextBytes(hash);
            String tier = i % 10 == 0 ? "inspector" : "driver";
            document.addOrganisations(Organisation.newBuilder()
                    .setName("organisation-" + Integer.toString(random.nextInt(36 * 36 * 36 * 36), 36) + "-" + i)
                    .setWeight(1 + random.nextInt(5))
                    .addCredentials(Credential.newBuilder()
                            .setSha256128(ByteString.copyFrom(hash))
                            .setTier(tier)));
        }
        return SchemaChecker.complete(document.build());
    }

    private static DataCentre.Builder dataCentre(String name, boolean inService) {
        return DataCentre.newBuilder().setName(name).setRegion("sk-central").setInService(inService);
    }

    private static Organisation.Builder organisation(String name, Credential.Builder credential) {
        return Organisation.newBuilder().setName(name).setWeight(1).addCredentials(credential);
    }

    private static Credential.Builder credential(String secret, String tier) {
        return Credential.newBuilder()
                .setSha256128(ByteString.copyFrom(Credentials.hash(secret)))
                .setTier(tier);
    }
}
