package org.whinwharf.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.Document;

class DocumentKeeperTest {
    private static final Source PLATFORM = Source.platform("http://127.0.0.1:7000");
    private static final Source PEER = Source.peer("entry-2");

    private final DocumentKeeper keeper = new DocumentKeeper(TestDocuments.ENVIRONMENT);

    // The configuration service comes back from an outage with the document of last week, in which a data centre that
    // operators took out is still in. A host that followed it would send work there again.
    @Test
    void aReturningConfigurationServiceWithAnOldDocumentChangesNothing() {
        keeper.offer(TestDocuments.published(7), PEER, 0);

        Offer offer = keeper.offer(TestDocuments.published(5), PLATFORM, 10);

        assertThat(offer, equalTo(new Offer.Older(5, 7)));
        assertThat(keeper.generation(), is(7L));
    }

    // Two operators promote at the same moment, each to the same next generation. If each host kept the one that came
    // last, hosts would disagree and change their minds with each heartbeat; the first one stays and it is reported.
    @Test
    void anotherDocumentOfTheSameGenerationIsReportedAndNotTaken() {
        Document.Builder other = TestDocuments.valid(3);
        other.getDataCentresBuilder(0).setInService(false);
        keeper.offer(TestDocuments.published(3), PLATFORM, 0);
        String digest = keeper.inForce().orElseThrow().digest();

        Offer offer = keeper.offer(TestDocuments.published(other), PEER, 1);

        assertThat(offer, instanceOf(Offer.Conflict.class));
        assertThat(((Offer.Conflict) offer).digestInForce(), equalTo(digest));
        assertThat(keeper.inForce().orElseThrow().isInService("zilina-a"), is(true));
    }

    @Test
    void theSameDocumentInItsOtherFormIsNoConflict() {
        Document document = SchemaChecker.complete(TestDocuments.valid(3).build());
        keeper.offer(DocumentWriter.compact(document), PLATFORM, 0);

        assertThat(keeper.offer(DocumentWriter.json(document), PLATFORM, 1), equalTo(new Offer.Unchanged(3)));
        assertThat(keeper.offer(DocumentWriter.compact(document), PLATFORM, 2), equalTo(new Offer.Unchanged(3)));
    }

    // A document with a fault, or one too large, is published with a high generation. Were it adopted, or its
    // generation remembered, the mended one with the next lower number could never come into force.
    @Test
    void aFaultyOrOversizedDocumentLeavesTheLastValidOneAndDoesNotBlockTheNext() {
        keeper.offer(TestDocuments.published(2), PLATFORM, 0);

        Offer faulty =
                keeper.offer(TestDocuments.published(TestDocuments.valid(9).clearTiers()), PLATFORM, 1);
        Offer oversized = keeper.offer(new byte[DocumentReader.MAX_PUBLISHED_BYTES + 1], PLATFORM, 2);
        Offer mended = keeper.offer(TestDocuments.published(3), PLATFORM, 3);

        assertThat(faulty, instanceOf(Offer.Invalid.class));
        assertThat(
                ((Offer.Invalid) oversized)
                        .faults().stream().map(Fault::problem).toList(),
                contains(Problem.TOO_LARGE));
        assertThat(mended, instanceOf(Offer.Adopted.class));
        assertThat(keeper.generation(), is(3L));
    }

    // A large faulty document stays published overnight, and every reading of the configuration service brings it
    // again.
    // Checked anew each time, it would keep a processor of every host busy.
    @Test
    void aRefusedDocumentThatComesAgainIsNotCheckedAnew() {
        byte[] faulty = TestDocuments.published(TestDocuments.valid(9).clearTiers());
        Offer first = keeper.offer(faulty, PLATFORM, 1);

        assertThat(keeper.offer(faulty.clone(), PLATFORM, 2), sameInstance(first));
        assertThat(keeper.offer(TestDocuments.published(9), PLATFORM, 3), instanceOf(Offer.Adopted.class));
        assertThat(keeper.offer(faulty, PLATFORM, 4), sameInstance(first));
    }

    // A trial document is published to the production environment by mistake. Its credentials and data centres are
    // not those of production, so every caller would be refused.
    @Test
    void aDocumentOfAnotherEnvironmentIsRefused() {
        byte[] production = TestDocuments.published(TestDocuments.valid(4).setEnvironment("production"));

        Offer offer = keeper.offer(production, PLATFORM, 0);

        assertThat(
                ((Offer.Invalid) offer).faults().stream().map(Fault::problem).toList(),
                contains(Problem.OTHER_ENVIRONMENT));
        assertThat(keeper.inForce().isPresent(), is(false));
    }

    @Test
    void ofTwoGenerationsInOneSecondTheHigherWinsInEitherOrder() {
        DocumentKeeper other = new DocumentKeeper(TestDocuments.ENVIRONMENT);
        keeper.offer(TestDocuments.published(4), PLATFORM, 0);
        keeper.offer(TestDocuments.published(5), PEER, 1);
        other.offer(TestDocuments.published(5), PEER, 0);
        other.offer(TestDocuments.published(4), PLATFORM, 1);

        assertThat(keeper.generation(), is(5L));
        assertThat(other.generation(), is(5L));
    }

    @Test
    void theAgeOfTheLastNewsCountsFromThePlatformsLastAnswerOfAnyKind() {
        assertThat(keeper.platformAgeMillis(5), is(OptionalLong.empty()));

        keeper.offer(TestDocuments.published(4), PLATFORM, 100);
        keeper.offer(TestDocuments.published(5), PEER, 300);

        assertThat(keeper.platformAgeMillis(400), is(OptionalLong.of(300)));
        keeper.heardFromPlatform(390);
        assertThat(keeper.platformAgeMillis(400), is(OptionalLong.of(10)));
    }

    // A host is replaced while the configuration service is stale. It reads the old document there at once, and would
    // serve under it although its peers have a newer one.
    @Test
    void aFreshProcessIsNotReadyBeforeItsPeersAnsweredOrItsPatienceEnded() {
        StartupInquiry inquiry = new StartupInquiry(1_000, 3_000);

        assertThat("before the host list is known", inquiry.isComplete(1_500), is(false));
        inquiry.peers(Set.of("entry-2", "entry-3"));
        inquiry.done("entry-2");
        assertThat("before all have answered", inquiry.isComplete(2_000), is(false));
        inquiry.done("entry-3");
        assertThat("after all have answered", inquiry.isComplete(2_001), is(true));
        assertThat(new StartupInquiry(0, 3_000).isComplete(3_000), is(true));
    }
}
