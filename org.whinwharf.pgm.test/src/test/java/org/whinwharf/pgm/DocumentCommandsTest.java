package org.whinwharf.pgm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SettingsFile;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.OperatorSettings;
import org.whinwharf.wire.schema.SchedulerSettings;
import org.whinwharf.wire.schema.StewardSettings;

class DocumentCommandsTest {
    private static final String TRIAL =
            Run.SAMPLES.resolve("svetlo-spat/trial.json").toString();
    private static final String PRODUCTION =
            Run.SAMPLES.resolve("svetlo-spat/production.json").toString();

    @TempDir
    private Path folder;

    @Test
    void everySampleDocumentIsValid() throws IOException {
        try (Stream<Path> files = Files.walk(Run.SAMPLES)) {
            List<String> documents = files.map(Path::toString)
                    .filter(name -> name.endsWith("trial.json")
                            || name.endsWith("production.json")
                            || name.endsWith("document.json"))
                    .toList();

            assertThat(documents.size(), is(6));
            assertThat(
                    Run.of(Stream.concat(Stream.of("check"), documents.stream()).toArray(String[]::new))
                            .exit(),
                    is(OperatorExit.OK));
        }
    }

    @Test
    void everySampleOfSettingsIsValid() {
        assertThat(settingsFaults("entry", EntrySettings.getDefaultInstance()), is(List.of()));
        assertThat(settingsFaults("scheduler", SchedulerSettings.getDefaultInstance()), is(List.of()));
        assertThat(settingsFaults("steward", StewardSettings.getDefaultInstance()), is(List.of()));
        assertThat(settingsFaults("operator", OperatorSettings.getDefaultInstance()), is(List.of()));
    }

    @Test
    void checkPrintsEveryFaultWithItsLine() throws IOException {
        String broken = edit(
                TRIAL,
                "\"inService\": true",
                "\"inService\": false",
                "\"rank\": 3",
                "\"rank\": 33",
                "\"kind\": \"PLAIN\"",
                "\"kind\": \"PLAN\"",
                "\"tier\": \"school\"",
                "\"tier\": \"scool\"");

        Approvals.verify(Run.of("check", broken).golden(folder));
    }

    @Test
    void diffTellsInWordsWhatChangesForWhom() throws IOException {
        String after = edit(
                PRODUCTION,
                "\"generation\": 7",
                "\"generation\": 8",
                "\"martin-a\", \"region\": \"sk-central\", \"inService\": true",
                "\"martin-a\", \"region\": \"sk-central\", \"inService\": false",
                "\"maxWaiting\": 200",
                "\"maxWaiting\": 300",
                "{\"name\": \"lampa-sort\", \"version\": \"2026.2\"",
                "{\"name\": \"lampa-sort\", \"version\": \"2026.3\"",
                "\"weight\": 3",
                "\"weight\": 5",
                "\"name\": \"obce-kysuce\"",
                "\"name\": \"obce-orava\"",
                "{\"id\": 1,",
                "{\"id\": 2,",
                "\"grantMillis\": 1000",
                "\"grantMillis\": 900");

        Approvals.verify(Run.of("diff", PRODUCTION, after).golden(folder));
    }

    @Test
    void diffWarnsOfARemovedTierAndOfAGenerationThatDoesNotGrow() throws IOException {
        String after = edit(
                PRODUCTION,
                "    {\"name\": \"driver\", \"rank\": 2},\n",
                "",
                "\"tier\": \"driver\"",
                "\"tier\": \"keeper\"",
                "\"rank\": 1",
                "\"rank\": 2");

        Approvals.verify(Run.of("diff", PRODUCTION, after).golden(folder));
    }

    @Test
    void aDocumentHasNoDifferenceFromItselfButItsGenerationMustGrow() {
        Run run = Run.of("diff", PRODUCTION, PRODUCTION);

        assertThat(run.exit(), is(OperatorExit.RISKY));
        assertThat(run.out(), containsString("generation 7 is followed by 7"));
    }

    @Test
    void promoteWritesTheSameContentAsTheNextGenerationAndPrintsItsDigest() throws IOException {
        Path out = folder.resolve("production.bin");

        Run run = Run.of("promote", TRIAL, "--to", "production", "--current", PRODUCTION, "--out", out.toString());

        byte[] published = Files.readAllBytes(out);
        Document promoted = document(published);
        Document tried = document(Files.readAllBytes(Path.of(TRIAL)));
        assertThat(promoted.toBuilder().setGeneration(8).setEnvironment("trial").build(), equalTo(tried));
        assertThat(promoted.getGeneration(), is(8L));
        assertThat(promoted.getEnvironment(), equalTo("production"));
        assertThat(
                run.out(), containsString(Hashing.sha256().hashBytes(published).toString()));
        Approvals.verify(
                run.golden(folder).replaceAll("SHA-256 [0-9a-f]{64}, [0-9]+ bytes", "SHA-256 DIGEST, N bytes"));
    }

    @Test
    void promoteWritesJsonThatReadsBackTheSame() throws IOException {
        Path compact = folder.resolve("a");
        Path json = folder.resolve("b");

        Run.of("promote", TRIAL, "--to", "production", "--generation", "9", "--out", compact.toString());
        Run.of("promote", TRIAL, "--to", "production", "--generation", "9", "--out", json.toString(), "--form", "json");

        assertThat(document(Files.readAllBytes(json)), equalTo(document(Files.readAllBytes(compact))));
    }

    // The largest fleet has 31,000 organisations. As JSON its document is several megabytes, more than the platform's
    // values hold; operators must be able to check and promote it all the same, since its compact form fits.
    @Test
    void theDocumentOfTheLargestFleetIsCheckedAndPromotedFromItsJson() throws IOException {
        Path out = folder.resolve("largest.bin");
        String largest = withOrganisations(31_000);

        Run check = Run.of("check", largest);
        Run promote = Run.of("promote", largest, "--to", "production", "--generation", "9", "--out", out.toString());

        assertThat(check.out(), containsString("31005 organisations"));
        assertThat(promote.exit(), is(OperatorExit.OK));
        assertThat(Files.size(Path.of(largest)) > DocumentReader.MAX_PUBLISHED_BYTES, is(true));
        assertThat(Files.size(out) <= DocumentReader.MAX_PUBLISHED_BYTES, is(true));
    }

    @Test
    void checkRefusesADocumentWhoseCompactFormThePlatformCannotHold() throws IOException {
        Run run = Run.of("check", withOrganisations(45_000));

        assertThat(run.exit(), is(OperatorExit.FAULTS));
        assertThat(run.out(), containsString("larger than allowed"));
    }

    // An operator promotes in a hurry and names a file that holds the document now published. Were it overwritten, the
    // way back would be gone.
    @Test
    void promoteOverwritesNothing() throws IOException {
        Path out = folder.resolve("there");
        Files.writeString(out, "kept");

        Run run = Run.of("promote", TRIAL, "--to", "production", "--generation", "9", "--out", out.toString());

        assertThat(run.exit(), is(OperatorExit.FAILED));
        assertThat(Files.readString(out), equalTo("kept"));
    }

    @Test
    void promoteRefusesACurrentDocumentOfAnotherEnvironmentAndTwoWaysToNameTheGeneration() {
        String out = folder.resolve("out").toString();

        assertThat(
                Run.of("promote", TRIAL, "--to", "production", "--current", TRIAL, "--out", out)
                        .exit(),
                is(OperatorExit.USAGE));
        assertThat(
                Run.of(
                                "promote",
                                TRIAL,
                                "--to",
                                "production",
                                "--current",
                                PRODUCTION,
                                "--generation",
                                "3",
                                "--out",
                                out)
                        .exit(),
                is(OperatorExit.USAGE));
        assertThat(Files.exists(folder.resolve("out")), is(false));
    }

    @Test
    void aFreshCredentialFitsTheHashThatComesWithIt() throws IOException {
        var json = new ObjectMapper().readTree(Run.of("credential", "--json").out());

        byte[] hash =
                org.whinwharf.document.Credentials.hash(json.get("credential").asText());
        assertThat(
                Base64.getEncoder().encodeToString(hash),
                equalTo(json.get("sha256128").asText()));
    }

    @Test
    void helpVersionAndWrongUseHaveTheirExitCodes() {
        assertThat(Run.of("--version").exit(), is(OperatorExit.OK));
        assertThat(Run.of("promote", "--help").out(), containsString("--current"));
        assertThat(Run.of("check").exit(), is(OperatorExit.USAGE));
        assertThat(Run.of("no-such-command").exit(), is(OperatorExit.USAGE));
        assertThat(Run.of("status").exit(), is(OperatorExit.USAGE));
        assertThat(Run.of("check", folder.resolve("absent").toString()).exit(), is(OperatorExit.FAULTS));
    }

    private static List<String> settingsFaults(String name, Message prototype) {
        Path file = Run.SAMPLES.resolve("settings/" + name + ".json");
        return SettingsFile.load(file, prototype) instanceof ReadResult.Invalid<?> invalid
                ? invalid.faults().stream().map(Fault::text).toList()
                : List.of();
    }

    /** Writes the trial sample with so many more organisations. */
    private String withOrganisations(int count) throws IOException {
        Random random = new Random(count);
        StringBuilder organisations = new StringBuilder("\"organisations\": [\n");
        for (int i = 0; i < count; i++) {
            byte[] hash = new byte[16];
            random.nextBytes(hash);
            organisations
                    .append("    {\"name\": \"organisation-")
                    .append(Integer.toString(random.nextInt(36 * 36 * 36 * 36), 36))
                    .append('-')
                    .append(i)
                    .append("\", \"credentials\": [{\"sha256128\": \"")
                    .append(Base64.getEncoder().encodeToString(hash))
                    .append("\", \"tier\": \"driver\"}]},\n");
        }
        return edit(TRIAL, "\"organisations\": [\n", organisations.toString());
    }

    private static Document document(byte[] published) {
        return ((ReadResult.Valid<Document>) DocumentReader.read(published, "f")).value();
    }

    /** Writes a copy of a sample with texts replaced, pair by pair. */
    private String edit(String sample, String... pairs) throws IOException {
        String text = Files.readString(Path.of(sample));
        for (int i = 0; i < pairs.length; i += 2) {
            assertThat(text, containsString(pairs[i]));
            text = text.replace(pairs[i], pairs[i + 1]);
        }
        Path file = folder.resolve("edited.json");
        Files.writeString(file, text);
        return file.toString();
    }
}
