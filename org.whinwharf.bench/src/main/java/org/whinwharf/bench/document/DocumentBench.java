package org.whinwharf.bench.document;

import com.google.protobuf.ByteString;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.whinwharf.document.Credentials;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.document.DocumentView;
import org.whinwharf.document.DocumentWriter;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;

/**
 * Measures published size, time to read, and memory that stays, at several numbers of organisations.
 *
 * <p>Each argument is a number of organisations; without any, 5, 1000, 10000 and 31000 are measured.
 */
public final class DocumentBench {
    private static final int[] SIZES = {5, 1_000, 10_000, 31_000};
    private static final int MODELS = 19;
    private static final int SEALING_KEY_BYTES = 32;
    private static final int NAME_RADIX = 36;
    private static final int NAME_BOUND = NAME_RADIX * NAME_RADIX * NAME_RADIX * NAME_RADIX;
    private static final int READS = 5;
    private static final int COLLECTIONS = 4;
    private static final long SEED = 42;

    private DocumentBench() {}

    /**
     * Runs the measurement and prints one line a size.
     *
     * @param arguments numbers of organisations
     */
    public static void main(String[] arguments) {
        int[] sizes = arguments.length == 0
                ? SIZES
                : IntStream.range(0, arguments.length)
                        .map(i -> Integer.parseInt(arguments[i]))
                        .toArray();
        measure(sizes[0], false);
        System.out.println("organisations json_bytes compact_bytes read_millis view_bytes");
        for (int organisations : sizes) {
            measure(organisations, true);
        }
    }

    private static void measure(int organisations, boolean print) {
        Document document = document(organisations);
        int jsonBytes = DocumentWriter.json(document).length;
        byte[] published = DocumentWriter.compact(document);
        document = null;
        view(published);
        long startNanos = System.nanoTime();
        for (int i = 0; i < READS; i++) {
            view(published);
        }
        long readNanos = (System.nanoTime() - startNanos) / READS;
        long before = usedBytes();
        DocumentView view = view(published);
        long retained = usedBytes() - before;
        if (!print) {
            return;
        }
        System.out.printf(
                Locale.ROOT,
                "%d %d %d %.1f %d%n",
                view.organisations(),
                jsonBytes,
                published.length,
                readNanos / (double) TimeUnit.MILLISECONDS.toNanos(1),
                retained);
    }

    private static DocumentView view(byte[] published) {
        ReadResult<Document> read = DocumentReader.read(published, "bench");
        if (read instanceof ReadResult.Valid<Document> valid) {
            return DocumentView.of(valid.value(), published);
        }
        throw new IllegalStateException(read.toString());
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static Document document(int organisations) {
        Random random = new Random(SEED);
        Document.Builder document = Document.newBuilder().setGeneration(1).setEnvironment("production");
        document.addDataCentres(DataCentre.newBuilder()
                .setName("zilina-a")
                .setRegion("sk-central")
                .setInService(true));
        document.addTiers(Tier.newBuilder().setName("inspector").setRank(2));
        document.addTiers(Tier.newBuilder().setName("driver").setRank(1));
        ServiceSpec.Builder service =
                ServiceSpec.newBuilder().setName("lampa-llm").setKind(ServiceKind.ENGINE);
        for (int i = 0; i < MODELS; i++) {
            document.addModels(Model.newBuilder().setName("model-" + i).setVersion("1"));
            service.addModels("model-" + i);
        }
        document.addServices(service);
        document.addSealingKeys(
                SealingKey.newBuilder().setId(1).setKey(ByteString.copyFrom(new byte[SEALING_KEY_BYTES])));
        for (int i = 0; i < organisations; i++) {
            document.addOrganisations(organisation(i, random));
        }
        return SchemaChecker.complete(document.build());
    }

    private static Organisation.Builder organisation(int number, Random random) {
        byte[] hash = new byte[Credentials.HASH_BYTES];
        random.nextBytes(hash);
        String tier = number % 2 == 0 ? "inspector" : "driver";
        return Organisation.newBuilder()
                .setName("organisation-" + Integer.toString(random.nextInt(NAME_BOUND), NAME_RADIX) + "-" + number)
                .setWeight(1)
                .addCredentials(Credential.newBuilder()
                        .setSha256128(ByteString.copyFrom(hash))
                        .setTier(tier));
    }
}
