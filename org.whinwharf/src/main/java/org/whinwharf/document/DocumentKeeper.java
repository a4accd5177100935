package org.whinwharf.document;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;

/**
 * Decides which document is in force in one process: the highest valid generation that it was ever offered.
 *
 * <p>The configuration service can come back from an outage with an old document. A process that followed it would
 * bring a data centre back that operators had taken out; one would notice hosts whose generation falls. Here nothing
 * but a higher generation takes the place of the document in force.
 *
 * <p>A faulty document stays published until it is mended, and each reading brings it again. Reading a large one takes
 * a good part of a second, so that the processor would be busy with nothing else; one would notice the load on every
 * host at once. The keeper knows the last document that it refused by its digest.
 *
 * <p>Not safe for use by several threads; the views that it hands out are.
 */
public final class DocumentKeeper {
    private final String environment;
    private DocumentView inForce;
    private ByteString published = ByteString.EMPTY;
    private HashCode content;
    private HashCode refusedDigest;
    private Offer.Invalid refusal;
    private OptionalLong platformHeardAtMillis = OptionalLong.empty();

    /**
     * Makes a keeper that has no document yet.
     *
     * @param environment environment of the process; documents of others are refused
     */
    public DocumentKeeper(String environment) {
        this.environment = environment;
    }

    /**
     * Takes a document that was heard of and puts it in force if it is valid and newer.
     *
     * @param offered bytes as published
     * @param source where they came from
     * @param nowMillis monotonic clock
     * @return what became of it
     */
    public Offer offer(byte[] offered, Source source, long nowMillis) {
        if (source.kind() == Source.Kind.PLATFORM) {
            heardFromPlatform(nowMillis);
        }
        if (inForce != null && published.asReadOnlyByteBuffer().equals(ByteBuffer.wrap(offered))) {
            return new Offer.Unchanged(inForce.generation());
        }
        HashCode digest = Hashing.sha256().hashBytes(offered);
        if (digest.equals(refusedDigest)) {
            return refusal;
        }
        Offer offer = read(offered, source);
        if (offer instanceof Offer.Invalid invalid) {
            refusedDigest = digest;
            refusal = invalid;
        }
        return offer;
    }

    private Offer read(byte[] offered, Source source) {
        ReadResult<Document> read = DocumentReader.read(offered, source.name());
        if (read instanceof ReadResult.Invalid<Document> invalid) {
            return new Offer.Invalid(invalid.faults());
        }
        return decide(((ReadResult.Valid<Document>) read).value(), offered, source);
    }

    /**
     * Notes that the configuration service answered, be it that it has nothing newer.
     *
     * @param nowMillis monotonic clock
     */
    public void heardFromPlatform(long nowMillis) {
        platformHeardAtMillis = OptionalLong.of(nowMillis);
    }

    /**
     * Returns how long ago the configuration service last answered.
     *
     * @param nowMillis monotonic clock
     * @return age in milliseconds; empty when it never answered this process
     */
    public OptionalLong platformAgeMillis(long nowMillis) {
        return platformHeardAtMillis.isPresent()
                ? OptionalLong.of(nowMillis - platformHeardAtMillis.getAsLong())
                : OptionalLong.empty();
    }

    /**
     * Returns the document in force.
     *
     * @return view; empty before the first valid document
     */
    public Optional<DocumentView> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Returns the generation in force.
     *
     * @return generation; 0 before the first valid document
     */
    public long generation() {
        return inForce == null ? 0 : inForce.generation();
    }

    /**
     * Returns the published form of the document in force, for peers that ask for it.
     *
     * @return bytes as published; empty before the first valid document
     */
    public ByteString published() {
        return published;
    }

    private Offer decide(Document document, byte[] offered, Source source) {
        if (!document.getEnvironment().equals(environment)) {
            return new Offer.Invalid(List.of(otherEnvironment(document, source)));
        }
        if (document.getGeneration() < generation()) {
            return new Offer.Older(document.getGeneration(), generation());
        }
        HashCode offeredContent = Hashing.sha256().hashBytes(document.toByteArray());
        if (document.getGeneration() == generation()) {
            return sameGeneration(offeredContent, offered);
        }
        inForce = DocumentView.of(document, offered);
        published = ByteString.copyFrom(offered);
        content = offeredContent;
        return new Offer.Adopted(inForce);
    }

    /** Tells the same document in another form from another document; either way the first one stays. */
    private Offer sameGeneration(HashCode offeredContent, byte[] offered) {
        if (offeredContent.equals(content)) {
            return new Offer.Unchanged(generation());
        }
        String digest = Hashing.sha256().hashBytes(offered).toString();
        return new Offer.Conflict(generation(), inForce.digest(), digest);
    }

    private Fault otherEnvironment(Document document, Source source) {
        return new Fault(
                source.name(), 0, 0, "environment", Problem.OTHER_ENVIRONMENT, document.getEnvironment(), environment);
    }
}
