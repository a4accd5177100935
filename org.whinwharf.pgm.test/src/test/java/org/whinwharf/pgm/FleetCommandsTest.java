package org.whinwharf.pgm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.home.HomeNote;
import org.whinwharf.pgm.FakeServer.Reply;
import org.whinwharf.pgm.internal.PgmText;

class FleetCommandsTest {
    private static final Path PRODUCTION = Run.SAMPLES.resolve("svetlo-spat/production.json");
    private static final String REQUEST = "entry-1.9f3c.2a";
    private static final String ENTRY_STATUS = """
            {"host": "entry-1", "role": "entry", "dataCentre": "zilina-a", "generation": "7", "ready": true,
             "documentAgeMillis": "120", "addedByANewerVersion": 1}""";
    private static final String LAGGING_STATUS = """
            {"host": "entry-2", "role": "entry", "dataCentre": "martin-a", "generation": "6", "leaving": true,
             "documentAgeMillis": "-1", "reasons": ["generation 7 refused: f:3:1: tiers: too few entries"]}""";
    private static final String SCHEDULER_STATUS = """
            {"host": "entry-1", "role": "scheduler", "dataCentre": "zilina-a", "generation": "7", "ready": true,
             "documentAgeMillis": "80", "slices": [
               {"service": "lampa-llm", "dataCentre": "zilina-a", "share": 1.0,
                "queues": [{"tierRank": 0, "waiting": 5}, {"tierRank": 3, "waiting": 1}],
                "targets": [{"name": "lampa-1", "state": "warm", "limit": 6, "inFlight": 6},
                            {"name": "lampa-2", "state": "warming", "limit": 2, "inFlight": 1}]},
               {"service": "lampa-llm", "dataCentre": "martin-a", "share": 1.0,
                "targets": [{"name": "lampa-3", "state": "warm", "limit": 8, "inFlight": 7}]},
               {"service": "zber-app", "dataCentre": "zilina-a", "share": 0,
                "targets": [{"name": "zber-1", "state": "warm", "limit": 8, "inFlight": 7}]}]}""";

    @TempDir
    private Path folder;

    private static FakeServer entry;
    private static FakeServer lagging;
    private static FakeServer scheduler;
    private static FakeServer platform;
    private static volatile boolean documentsDown;
    private static volatile boolean documentFaulty;
    private String settings;

    @BeforeAll
    static void startFleet() {
        entry = new FakeServer(
                request -> request.startsWith("GET /v1/explain/") ? explanation(request) : Reply.json(ENTRY_STATUS));
        lagging = new FakeServer(request -> Reply.json(LAGGING_STATUS));
        scheduler = new FakeServer(request -> Reply.json(SCHEDULER_STATUS));
        platform = new FakeServer(FleetCommandsTest::platformReply);
    }

    @BeforeEach
    void writeSettings() throws IOException {
        documentsDown = false;
        documentFaulty = false;
        Path file = folder.resolve("operator.json");
        Files.writeString(
                file,
                "{\"entries\": [\"" + entry.url() + "\"], \"configurationUrl\": \"" + platform.url()
                        + "\", \"hostListUrl\": \"" + platform.url() + "\", \"environment\": \"production\"}");
        settings = file.toString();
    }

    @AfterAll
    static void stopFleet() {
        entry.close();
        lagging.close();
        scheduler.close();
        platform.close();
    }

    @Test
    void statusShowsTheFleetWhoLagsAndWhoDoesNotAnswer() {
        Approvals.verify(golden(Run.of("status", "--settings", settings)));
    }

    // The configuration service is down while an operator wants to know how the fleet stands. The rest must still be
    // told, and that nothing is known of the published generation must be said instead of a zero.
    @Test
    void statusStillTellsOfTheFleetWhileTheConfigurationServiceIsDown() {
        documentsDown = true;

        Run run = Run.of("status", "--settings", settings);

        assertThat(run.exit(), is(OperatorExit.UNREACHABLE));
        assertThat(run.out(), containsString("generation none readable published, 7 in force"));
        assertThat(run.out(), containsString("entry-1  scheduler"));
    }

    // A document with a fault was published. Every host keeps the one before and says why; an operator who looks at the
    // status must see the fault with its line at once, and not take the old generation for the new one.
    @Test
    void statusPrintsTheFaultsOfAPublishedDocumentThatNobodyTakes() {
        documentFaulty = true;

        Run run = Run.of("status", "--settings", settings);

        assertThat(run.out(), containsString("generation none readable published, 7 in force"));
        assertThat(run.out(), containsString(platform.url() + ":17:35: tiers[0].rank: 33 is out of range"));
    }

    @Test
    void statusPrintsTheSameAsJson() throws IOException {
        var json = new com.fasterxml.jackson.databind.ObjectMapper()
                .readTree(Run.of("status", "--json", "--settings", settings).out());

        assertThat(json.get("lagging").get(0).asText(), equalTo("entry-2 entry (6)"));
        assertThat(json.get("queues").get(0).get("tier").asText(), equalTo("inspector"));
    }

    // Operators take a data centre out at short notice while the others are nearly full. Without a warning they would
    // learn of it from the callers of lower tiers who are turned away.
    @Test
    void diffWarnsWhenTheRestCannotCarryTheLoadOfADataCentreThatIsTakenOut() throws IOException {
        Path after = folder.resolve("after.json");
        Files.writeString(
                after,
                Files.readString(PRODUCTION)
                        .replace("\"generation\": 7", "\"generation\": 8")
                        .replace(
                                "\"martin-a\", \"region\": \"sk-central\", \"inService\": true",
                                "\"martin-a\", \"region\": \"sk-central\", \"inService\": false"));

        Approvals.verify(golden(Run.of("diff", PRODUCTION.toString(), after.toString(), "--settings", settings)));
    }

    @Test
    void explainTellsWhatTheHomeRecorded() {
        Approvals.verify(golden(Run.of("explain", REQUEST, "--settings", settings)));
    }

    @Test
    void everyNoteOfAHomeIsExplainedInWords() {
        for (HomeNote note : HomeNote.values()) {
            assertThat(note.wireName(), PgmText.has("explain.event." + note.wireName()), is(true));
        }
    }

    @Test
    void explainSaysWhoseRecordIsGone() {
        Run restarted = Run.of("explain", "entry-1.77.1", "--settings", settings);
        Run replaced = Run.of("explain", "entry-9.77.1", "--settings", settings);
        Run notAnId = Run.of("explain", "77", "--settings", settings);

        assertThat(restarted.exit(), is(OperatorExit.NOT_FOUND));
        assertThat(replaced.exit(), is(OperatorExit.NOT_FOUND));
        assertThat(notAnId.exit(), is(OperatorExit.USAGE));
    }

    private static Reply explanation(String request) {
        if (!request.endsWith(REQUEST)) {
            return Reply.status(404, "{}");
        }
        return Reply.json("""
                {"requestId": "entry-1.9f3c.2a", "events": [
                  {"atUnixMillis": "1767225780000", "event": "accepted",
                   "fields": {"detail": "escriba for parque-araripe"}},
                  {"atUnixMillis": "1767225780001", "event": "enqueued",
                   "fields": {"detail": "entry-1 for escriba/araripe/0"}},
                  {"atUnixMillis": "1767225780150", "event": "refused", "fields": {"detail": "HOPELESS by entry-1"}},
                  {"atUnixMillis": "1767225780151", "event": "ended", "fields": {"detail": "hopeless"}},
                  {"atUnixMillis": "1767225780152", "event": "of-a-newer-version", "fields": {"size": "3"}}]}""");
    }

    private static Reply platformReply(String request) {
        if (request.startsWith("GET /v1/hosts")) {
            return Reply.json(hostList());
        }
        if (documentsDown) {
            return Reply.status(503, "down");
        }
        try {
            String document = Files.readString(PRODUCTION);
            return Reply.json(documentFaulty ? document.replace("\"rank\": 3", "\"rank\": 33") : document);
        } catch (IOException e) {
            return Reply.status(500, e.toString());
        }
    }

    private static String hostList() {
        return "{\"revision\": \"3\", \"hosts\": ["
                + whinwharf("entry-1", "zilina-a", entry.port(), scheduler.port()) + ","
                + whinwharf("entry-2", "martin-a", lagging.port(), 1) + ","
                + target("lampa-1", "zilina-a", "lampa-llm", "LIVE") + ","
                + target("lampa-2", "zilina-a", "lampa-llm", "LIVE") + ","
                + target("lampa-3", "martin-a", "lampa-llm", "LIVE") + ","
                + target("lampa-4", "martin-a", "lampa-llm", "LEAVING") + ","
                + target("zber-1", "zilina-a", "zber-app", "LIVE") + "]}";
    }

    private static String whinwharf(String name, String dataCentre, int entryAdmin, int schedulerAdmin) {
        return "{\"name\": \"" + name + "\", \"address\": \"127.0.0.1\", \"dataCentre\": \"" + dataCentre
                + "\", \"state\": \"LIVE\", \"entry\": {\"entryAdmin\": " + entryAdmin + ", \"schedulerAdmin\": "
                + schedulerAdmin + "}}";
    }

    private static String target(String name, String dataCentre, String service, String state) {
        return "{\"name\": \"" + name + "\", \"address\": \"127.0.0.1\", \"dataCentre\": \"" + dataCentre
                + "\", \"state\": \"" + state + "\", \"target\": {\"service\": \"" + service + "\", \"port\": 9}}";
    }

    private String golden(Run run) {
        return run.golden(folder).replace(Run.ROOT.toString(), "ROOT");
    }
}
