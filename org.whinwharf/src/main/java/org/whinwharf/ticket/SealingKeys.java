package org.whinwharf.ticket;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.whinwharf.wire.caller.Sealed;
import org.whinwharf.wire.schema.SealingKey;

/** Sealing keys of a document for tickets and receipts. The first key seals; every key opens. */
public final class SealingKeys {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAX_TEXT_CHARS = 2048;

    private final List<SealingKey> keys;

    /**
     * Creates the keys.
     *
     * @param keys keys in the document's order
     * @throws IllegalArgumentException when the list is empty
     */
    public SealingKeys(List<SealingKey> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("no sealing key");
        }
        this.keys = List.copyOf(keys);
    }

    /**
     * Seals a payload with the first key.
     *
     * @param purpose kind of the payload; a text sealed for one purpose does not open for another
     * @param payload the payload
     * @return sealed text in URL-safe Base64 without padding
     */
    public String seal(String purpose, ByteString payload) {
        SealingKey key = keys.get(0);
        Sealed wrapper = Sealed.newBuilder()
                .setKeyId(key.getId())
                .setPayload(payload)
                .setSeal(ByteString.copyFrom(mac(key, purpose, payload)))
                .build();
        return Base64.getUrlEncoder().withoutPadding().encodeToString(wrapper.toByteArray());
    }

    /**
     * Verifies a sealed text and returns its payload.
     *
     * @param purpose expected kind of the payload
     * @param text sealed text from the caller
     * @return the payload; empty when none of the keys sealed this text for this purpose
     */
    public Optional<ByteString> open(String purpose, String text) {
        return parse(text).filter(wrapper -> isGenuine(purpose, wrapper)).map(Sealed::getPayload);
    }

    private static Optional<Sealed> parse(String text) {
        if (text.isEmpty() || text.length() > MAX_TEXT_CHARS) {
            return Optional.empty();
        }
        try {
            return Optional.of(Sealed.parseFrom(Base64.getUrlDecoder().decode(text)));
        } catch (IllegalArgumentException | InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }

    private boolean isGenuine(String purpose, Sealed wrapper) {
        byte[] seal = wrapper.getSeal().toByteArray();
        return keys.stream()
                .filter(key -> key.getId() == wrapper.getKeyId())
                // MessageDigest.isEqual compares in constant time. A comparison that stops at the first wrong byte
                // would let a caller guess a seal byte by byte from response times.
                .anyMatch(key -> MessageDigest.isEqual(mac(key, purpose, wrapper.getPayload()), seal));
    }

    private static byte[] mac(SealingKey key, String purpose, ByteString payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.getKey().toByteArray(), ALGORITHM));
            mac.update(purpose.getBytes(StandardCharsets.UTF_8));
            mac.update((byte) 0);
            return mac.doFinal(payload.toByteArray());
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, missing);
        }
    }
}
