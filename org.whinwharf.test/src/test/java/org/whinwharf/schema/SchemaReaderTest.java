package org.whinwharf.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.OperatorSettings;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.status.ExplainEvent;

class SchemaReaderTest {
    private static final String NODE = """
            "node": {
              "host": "entry-1", "dataCentre": "zilina-a", "address": "127.0.0.2", "environment": "trial",
              "configurationUrl": "http://127.0.0.1:7000", "hostListUrl": "http://127.0.0.1:7001",
              "adminPort": 8081, "peerPort": 8082
            }""";

    @Test
    void absentFieldsGetTheirFallbacksAlsoInsideNestedMessages() {
        EntrySettings settings = valid("{" + NODE + ", \"callerPort\": 8080}", EntrySettings.getDefaultInstance());

        assertThat(settings.getMaxHeaderBytes(), is(16384));
        assertThat(settings.getNode().getDrainMillis(), is(600000L));
        assertThat(settings.getNode().getPeerLimits().getHeartbeatMillis(), is(500L));
        assertThat(settings.getNode().getTraces().getExporter(), equalTo("log"));
    }

    @Test
    void aMessageThatNeedsFieldsOfItsOwnStaysAbsent() {
        EntrySettings settings = valid("{" + NODE + ", \"callerPort\": 8080}", EntrySettings.getDefaultInstance());

        assertThat(settings.hasTls(), is(false));
    }

    @Test
    void aZeroThatStandsInTheTextIsNotReplacedByTheFallback() {
        Document.Builder prototype = Document.newBuilder();
        String json = "{\"generation\": 1, \"retryBudget\": {\"floorPerSecond\": 0}}";

        List<String> problems = problems(json, prototype.build());

        assertThat(problems, not(hasItem(Matchers.startsWith("retryBudget"))));
    }

    @Test
    void commentsMayStandAnywhereAndLongsMayBeQuoted() {
        String json = """
                // first
                { /* before */ "name" /* after */ : // the name
                  "livro" /**/ , "kind": "PLAIN", /* "kind": "ENGINE" */
                  "maxBodyBytes": "2048" // quoted, as protobuf writes it
                } // last
                """;

        ServiceSpec service = valid(json, ServiceSpec.getDefaultInstance());

        assertThat(service.getKind(), is(ServiceKind.PLAIN));
        assertThat(service.getMaxBodyBytes(), is(2048L));
    }

    @Test
    void allFaultsAreReportedTogetherWithLineAndPath() {
        String json = """
                {
                  "generation": 0,
                  "environment": "Trial",
                  "enviroment": {"deep": [1, {"x": 2}]},
                  "generation": 7,
                  "dataCentres": [],
                  "tiers": [{"name": "driver", "rank": 16}, {"name": "driver"}],
                  "services": [{"name": "zber-app", "kind": "SIMPLE", "limits": {"slowFactor": "fast"}}],
                  "sealingKeys": [{"id": 1, "key": "%%%"}],
                  "timing": null
                }
                """;

        assertThat(
                problems(json, Document.getDefaultInstance()),
                contains(
                        "generation:2 OUT_OF_RANGE",
                        "environment:3 BAD_PATTERN",
                        "enviroment:4 UNKNOWN_FIELD",
                        "generation:5 DUPLICATE_FIELD",
                        "dataCentres:6 TOO_FEW",
                        "tiers[0].rank:7 OUT_OF_RANGE",
                        "tiers[1].rank:7 MISSING",
                        "tiers[1].name:7 NOT_UNIQUE",
                        "services[0].kind:8 UNKNOWN_WORD",
                        "services[0].limits.slowFactor:8 WRONG_TYPE",
                        "sealingKeys[0].key:9 BAD_BASE64",
                        "timing:10 WRONG_TYPE"));
    }

    @Test
    void aSyntaxFaultIsReportedWithWhatWasFoundBeforeIt() {
        String json = "{\n\"generation\": true,\n\"environment\": \"trial\",,\n}";

        assertThat(problems(json, Document.getDefaultInstance()), contains("generation:2 WRONG_TYPE", ":3 SYNTAX"));
    }

    @Test
    void textBehindTheMessageIsAFault() {
        assertThat(
                problems("{\"name\": \"a\", \"rank\": 1} []", org.whinwharf.wire.schema.Tier.getDefaultInstance()),
                contains(":1 SYNTAX"));
    }

    @Test
    void numbersThatDoNotFitTheFieldAreOutOfRangeAndFractionsAreNoWholeNumbers() {
        String json = "{\"name\": \"a\", \"rank\": 99999999999}";
        String fraction = "{\"name\": \"a\", \"rank\": 1.5}";
        var tier = org.whinwharf.wire.schema.Tier.getDefaultInstance();

        assertThat(problems(json, tier), contains("rank:1 OUT_OF_RANGE"));
        assertThat(problems(fraction, tier), contains("rank:1 WRONG_TYPE"));
    }

    @Test
    void aSecretValueIsNeverShown() {
        String json = "{\"id\": 1, \"key\": \"c2VjcmV0LXNlY3JldA=*\"}";

        ReadResult.Invalid<?> result = (ReadResult.Invalid<?>)
                SchemaReader.read(json, "f", org.whinwharf.wire.schema.SealingKey.getDefaultInstance());

        assertThat(result.faults().get(0).text(), not(Matchers.containsString("c2Vj")));
    }

    @Test
    void mapsAndPublishedListsAreReadWithoutInventedParts() {
        String list = "{\"revision\": 3, \"hosts\": [{\"name\": \"t1\", \"state\": \"LIVE\"}]}";

        HostList hosts = valid(list, HostList.getDefaultInstance());
        ExplainEvent event = valid("{\"fields\": {\"reason\": \"shed\"}}", ExplainEvent.getDefaultInstance());

        assertThat(hosts.getHosts(0).hasEntry(), is(false));
        assertThat(event.getFieldsOrThrow("reason"), equalTo("shed"));
    }

    @Test
    void theBinaryFormIsCheckedByTheSameRules() {
        Document document = SchemaChecker.complete(
                Document.newBuilder().setEnvironment("Trial").build());

        List<Problem> problems =
                SchemaChecker.check(document, "f").stream().map(Fault::problem).toList();

        assertThat(document.getTiming().getGrantMillis(), is(1000L));
        assertThat(
                problems,
                contains(
                        Problem.OUT_OF_RANGE,
                        Problem.BAD_PATTERN,
                        Problem.TOO_FEW,
                        Problem.TOO_FEW,
                        Problem.TOO_FEW,
                        Problem.TOO_FEW));
    }

    @Test
    void whatIsWrittenIsReadBackTheSame() {
        EntrySettings settings = valid("{" + NODE + ", \"callerPort\": 8080}", EntrySettings.getDefaultInstance());

        assertThat(valid(SchemaWriter.complete(settings), EntrySettings.getDefaultInstance()), equalTo(settings));
    }

    @Test
    void aSettingsFileThatIsNotThereIsAFaultAndNoException(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("operator.json");
        ReadResult<OperatorSettings> absent = SettingsFile.load(file, OperatorSettings.getDefaultInstance());
        Files.writeString(file, "{\"entries\": [\"http://127.0.0.2:8080\"], \"environment\": \"trial\"}");
        ReadResult<OperatorSettings> partial = SettingsFile.load(file, OperatorSettings.getDefaultInstance());

        assertThat(faults(absent), contains(":0 UNREADABLE"));
        assertThat(faults(partial), contains("configurationUrl:1 MISSING", "hostListUrl:1 MISSING"));
    }

    @Test
    void faultsFoundLaterGetThePlaceOfTheNearestFieldInTheText() {
        String json = "{\n\"tiers\": [\n{\"name\": \"a\"},\n{\"rank\": 2}\n]}";
        Fault fault = new Fault("f", 0, 0, "tiers[1].name", Problem.DANGLING_REFERENCE, "x", "");

        List<Fault> located = Positions.locate(List.of(fault), json);

        assertThat(located.get(0).text(), equalTo("f:4:1: tiers[1].name: 'x' is nowhere in this document"));
    }

    private static <M extends Message> M valid(String json, M prototype) {
        ReadResult<M> result = SchemaReader.read(json, "f", prototype);
        assertThat(faults(result), is(empty()));
        assertThat(result, instanceOf(ReadResult.Valid.class));
        return ((ReadResult.Valid<M>) result).value();
    }

    private static List<String> problems(String json, Message prototype) {
        return faults(SchemaReader.read(json, "f", prototype));
    }

    private static List<String> faults(ReadResult<?> result) {
        if (result instanceof ReadResult.Invalid<?> invalid) {
            return invalid.faults().stream()
                    .map(fault -> fault.path() + ":" + fault.line() + " " + fault.problem())
                    .toList();
        }
        return List.of();
    }
}
