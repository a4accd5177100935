package org.whinwharf.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.security.SecureRandom;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.Tier;

class DocumentViewTest {
    private static final int LARGEST_FLEET = 31_000;

    @Test
    void everyCredentialFindsItsOrganisationAndTierAndNoOtherDoes() {
        Document document = TestDocuments.many(1_000, 7);
        DocumentView view = DocumentView.of(document, DocumentWriter.compact(document));

        for (Organisation organisation : document.getOrganisationsList()) {
            Credential credential = organisation.getCredentials(0);
            byte[] hash = credential.getSha256128().toByteArray();
            Caller caller = view.caller(hash).orElseThrow();
            assertThat(caller.organisation(), equalTo(organisation.getName()));
            assertThat(caller.weight(), is(organisation.getWeight()));
            assertThat(caller.tier().getName(), equalTo(credential.getTier()));
            hash[15] ^= 1;
            assertThat(view.caller(hash), is(Optional.empty()));
        }
        assertThat(view.caller(new byte[3]), is(Optional.empty()));
    }

    @Test
    void aFreshCredentialIsFoundByItsHash() {
        String credential = Credentials.fresh(new SecureRandom());
        Document.Builder document = TestDocuments.valid(1);
        document.getOrganisationsBuilder(0)
                .getCredentialsBuilder(0)
                .setSha256128(com.google.protobuf.ByteString.copyFrom(Credentials.hash(credential)));
        DocumentView view = view(TestDocuments.published(document));

        assertThat(view.caller(Credentials.hash(credential)).orElseThrow().organisation(), equalTo("kraj"));
        assertThat(view.caller(Credentials.hash("inspector-key")), is(Optional.empty()));
    }

    @Test
    void tiersComeHighestFirstAndDataCentresOutOfServiceOrUnknownGetNoWork() {
        Document.Builder document = TestDocuments.valid(1);
        document.getDataCentresBuilder(1).setInService(false);
        DocumentView view = view(TestDocuments.published(document));

        assertThat(view.tiers().stream().map(Tier::getRank).toList(), equalTo(java.util.List.of(2, 1)));
        assertThat(view.isInService("zilina-a"), is(true));
        assertThat(view.isInService("martin-a"), is(false));
        assertThat(view.isInService("nowhere"), is(false));
    }

    // The largest fleet has 31,000 organisations, and the platform's values hold a megabyte. A document that did not
    // fit could not be published at all, and operators could take no data centre out any more.
    @Test
    void theLargestFleetFitsThePlatformsValue() {
        byte[] published = DocumentWriter.compact(TestDocuments.many(LARGEST_FLEET, 11));

        DocumentView view = view(published);

        assertThat(published.length, is(lessThan(DocumentReader.MAX_PUBLISHED_BYTES)));
        assertThat(view.organisations(), is(LARGEST_FLEET));
    }

    private static DocumentView view(byte[] published) {
        ReadResult<Document> read = DocumentReader.read(published, "f");
        return DocumentView.of(((ReadResult.Valid<Document>) read).value(), published);
    }
}
