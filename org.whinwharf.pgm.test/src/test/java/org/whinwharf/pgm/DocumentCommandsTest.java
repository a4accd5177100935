package org.whinwharf.pgm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;

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
                    .filter(name -> name.endsWith("trial.json") || name.endsWith("production.json"))
                    .toList();

            assertThat(documents.size(), is(4));
            assertThat(
                    Run.of(Stream.concat(Stream.of("check"), documents.stream()).toArray(String[]::new))
                            .exit(),
                    is(OperatorExit.OK));
        }
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
                java.util.Base64.getEncoder().encodeToString(hash),
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
