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

/** Keys of a document that seal what is handed to callers. The first one seals, each of them opens. */
public final class SealingKeys {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAX_TEXT_CHARS = 2048;

    private final List<SealingKey> keys;

    /**
     * Creates the keys.
     *
     * @param keys keys in the document's order
     * @throws IllegalArgumentException when there is none
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
     * @param purpose what the payload is; a seal for one purpose does not open for another
     * @param payload the payload
     * @return text for the caller to keep, in the alphabet of URLs
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
     * Opens a sealed text.
     *
     * @param purpose what the payload must be
     * @param text what the caller showed
     * @return the payload, or nothing when none of the keys sealed this text for this purpose
     */
    public Optional<ByteString> open(String purpose, String text) {
        return parse(text).filter(shown -> isGenuine(purpose, shown)).map(Sealed::getPayload);
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
        byte[] shown = wrapper.getSeal().toByteArray();
        return keys.stream()
                .filter(key -> key.getId() == wrapper.getKeyId())
                // MessageDigest.isEqual takes the same time wherever the first wrong byte is. A comparison that
                // stops early would let a caller guess a seal byte by byte from response times.
                .anyMatch(key -> MessageDigest.isEqual(mac(key, purpose, wrapper.getPayload()), shown));
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
