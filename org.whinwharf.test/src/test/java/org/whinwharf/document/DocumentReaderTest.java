package org.whinwharf.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.Document;

class DocumentReaderTest {
    @Test
    void bothPublishedFormsGiveTheSameDocument() {
        Document document = SchemaChecker.complete(TestDocuments.valid(3).build());

        assertThat(valid(DocumentWriter.json(document)), equalTo(document));
        assertThat(valid(DocumentWriter.compact(document)), equalTo(document));
    }

    // Guards against putting a document in force whose transfer ended early, where only the end of the connection ended
    // it.
    @Test
    void noBeginningOfADocumentIsValid() {
        Document document = SchemaChecker.complete(TestDocuments.valid(3).build());
        String json = new String(DocumentWriter.json(document), StandardCharsets.UTF_8).strip();
        for (byte[] published : List.of(json.getBytes(StandardCharsets.UTF_8), DocumentWriter.compact(document))) {
            for (int end = 0; end < published.length; end++) {
                ReadResult<Document> read = DocumentReader.read(Arrays.copyOf(published, end), "published");
                assertThat(read, is(instanceOf(ReadResult.Invalid.class)));
            }
        }
    }

    // An operator mistypes names while taking a data centre out in a hurry. With one fault reported at a time, each
    // mend would need another round through the trial environment; all of them must come in one list, by line.
    @Test
    void faultsOfTheSchemaAndOfTheMeaningComeTogetherWithTheirLines() {
        String json = """
                {
                  "generation": 4, "environment": "trial",
                  "dataCentres": [{"name": "martin-a", "region": "sk-central", "inService": false}],
                  "tiers": [{"name": "driver", "rank": 1}, {"name": "school", "rank": 1}],
                  "models": [],
                  "services": [
                    {"name": "lampa-llm", "kind": "ENGINE", "models": ["lampa"],
                     "calls": [{"name": "book"}], "defaultDeadlineMillis": 9000, "maxDeadlineMillis": 8000},
                    {"name": "zber-app", "kind": "PLAIN", "checksFencing": true, "limits": {"cold": 9, "most": 4}}
                  ],
                  "organisations": [
                    {"name": "a", "credentials": [{"sha256128": "AAAAAAAAAAAAAAAAAAAAAA==", "tier": "driver"}]},
                    {"name": "b", "credentials": [{"sha256128": "AAAAAAAAAAAAAAAAAAAAAA==", "tier": "drivr"},
                      {"sha256128": "AAAA", "tier": "driver"}], "wieght": 2}
                  ],
                  "sealingKeys": [{"id": 1, "key": "AAAA"}],
                  "deployments": [{"name": "d", "service": "zber-app", "dataCentre": "martin", "models": ["x"]}]
                }
                """;

        assertThat(
                faults(json),
                containsInAnyOrder(
                        "organisations[1].wieght:14 UNKNOWN_FIELD",
                        "dataCentres:3 ALL_OUT_OF_SERVICE",
                        "tiers[1].rank:4 DUPLICATE_RANK",
                        "services[0].models[0]:7 DANGLING_REFERENCE",
                        "services[0].calls:8 WRONG_KIND",
                        "services[0].defaultDeadlineMillis:8 DEFAULT_ABOVE_MAXIMUM",
                        "services[1].calls:9 TOO_FEW",
                        "services[1].checksFencing:9 WRONG_KIND",
                        "services[1].limits.cold:9 OUT_OF_RANGE",
                        "organisations[1].credentials[0].tier:13 DANGLING_REFERENCE",
                        "organisations[1].credentials[0].sha256128:13 DUPLICATE_CREDENTIAL",
                        "organisations[1].credentials[1].sha256128:14 WRONG_LENGTH",
                        "sealingKeys[0].key:16 WRONG_LENGTH",
                        "deployments[0].service:17 WRONG_KIND",
                        "deployments[0].dataCentre:17 DANGLING_REFERENCE",
                        "deployments[0].models[0]:17 DANGLING_REFERENCE"));
    }

    @Test
    void aTierWithoutCallersIsAFault() {
        Document.Builder document = TestDocuments.valid(1);
        document.getOrganisationsBuilder(0).getCredentialsBuilder(0).setTier("driver");

        assertThat(
                faults(new String(DocumentWriter.json(document.build()), StandardCharsets.UTF_8)).stream()
                        .filter(fault -> fault.endsWith("TIER_WITHOUT_CALLERS"))
                        .toList(),
                contains("tiers[0].name:14 TIER_WITHOUT_CALLERS"));
    }

    @Test
    void nothingIsReportedThatMerelyFollowsFromAnotherFault() {
        String json = new String(
                        DocumentWriter.json(
                                SchemaChecker.complete(TestDocuments.valid(1).build())),
                        StandardCharsets.UTF_8)
                .replace("\"models\": [{", "\"model\": [{");

        assertThat(faults(json), contains("model:20 UNKNOWN_FIELD"));
    }

    // A compact document of a newer version reaches an older process. In
    // either form a field that the process does not know must be reported, since it would be silently ignored.
    @Test
    void unknownFieldsOfTheCompactFormAreFaults() {
        Document.Builder document = TestDocuments.valid(1);
        document.getTiersBuilder(0)
                .setUnknownFields(com.google.protobuf.UnknownFieldSet.newBuilder()
                        .addField(
                                77,
                                com.google.protobuf.UnknownFieldSet.Field.newBuilder()
                                        .addVarint(1)
                                        .build())
                        .build());

        assertThat(problems(TestDocuments.published(document)), contains(Problem.UNKNOWN_FIELD));
    }

    @Test
    void bytesThatAreNoDocumentAreFaultsAndNoExceptions() {
        byte[] packed = TestDocuments.published(1);
        byte[] cut = java.util.Arrays.copyOf(packed, packed.length / 2);

        assertThat(problems(cut), contains(Problem.SYNTAX));
        assertThat(problems(new byte[] {(byte) 0xff, (byte) 0xfe, 0}), contains(Problem.SYNTAX));
        assertThat(problems(new byte[0]), contains(Problem.SYNTAX));
    }

    // A published value is too large, or a small one unpacks to gigabytes. A process that unpacked it would run out of
    // memory, and all of them at the same moment; callers would find no host left.
    @Test
    void oversizedDocumentsAreRefusedBeforeTheyFillTheMemory() throws IOException {
        ByteArrayOutputStream bomb = new ByteArrayOutputStream();
        try (GZIPOutputStream packed = new GZIPOutputStream(bomb)) {
            byte[] zeros = new byte[1 << 20];
            for (int i = 0; i < 64; i++) {
                packed.write(zeros);
            }
        }

        assertThat(bomb.size() < DocumentReader.MAX_PUBLISHED_BYTES, is(true));
        assertThat(problems(bomb.toByteArray()), contains(Problem.TOO_LARGE));
        assertThat(problems(new byte[DocumentReader.MAX_PUBLISHED_BYTES + 1]), contains(Problem.TOO_LARGE));
    }

    private static Document valid(byte[] published) {
        ReadResult<Document> result = DocumentReader.read(published, "f");
        return ((ReadResult.Valid<Document>) result).value();
    }

    private static List<Problem> problems(byte[] published) {
        ReadResult.Invalid<Document> result = (ReadResult.Invalid<Document>) DocumentReader.read(published, "f");
        return result.faults().stream().map(Fault::problem).toList();
    }

    private static List<String> faults(String json) {
        ReadResult.Invalid<Document> result = (ReadResult.Invalid<Document>) DocumentReader.readJson(json, "f");
        return result.faults().stream()
                .map(fault -> fault.path() + ":" + fault.line() + " " + fault.problem())
                .toList();
    }
}
