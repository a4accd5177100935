package org.whinwharf.traffic.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.traffic.target.PromptPart;

/**
 * Digest of a request's content, by which the attempts of one request are recognised: each has another id, and most
 * come to another process. Also the digest of what different requests have in common.
 *
 * <p>It is cut from a cryptographic digest, so that no caller can choose a request with the fingerprint of another.
 *
 * @param bits the digest's first 64 bits
 */
public record Fingerprint(long bits) {
    /** Fingerprint of no request, for messages without one. */
    public static final Fingerprint NONE = new Fingerprint(0);
    /** Maximum number of parts of one prompt that are digested, since a caller may send any number. */
    public static final int MAX_SHARED_PARTS = 16;

    private static final String PROMPT_PART = "prompt part";

    /**
     * Returns the fingerprint for log lines.
     *
     * @return hexadecimal digits
     */
    @Override
    public String toString() {
        return Long.toHexString(bits);
    }

    /**
     * Returns the digests of the parts of a prompt that other requests may share: all but the last, which belongs to
     * the request or to its session. They are the same at any place, in any request, of any organisation.
     *
     * @param prompt all parts of the prompt, in order
     * @return digests, in the order of the first {@link #MAX_SHARED_PARTS} parts
     */
    public static Set<Fingerprint> ofSharedParts(List<PromptPart> prompt) {
        return prompt.stream()
                .limit(Math.max(0, Math.min(prompt.size() - 1, MAX_SHARED_PARTS)))
                .map(part -> new Builder().add(PROMPT_PART).add(part.id()).build())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Digests the parts of a request's content, in order. */
    public static final class Builder {
        private final MessageDigest digest;

        /** Creates a builder without any part. */
        public Builder() {
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }

        /**
         * Adds a text.
         *
         * @param text any text
         * @return this
         */
        public Builder add(String text) {
            return add(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }

        /**
         * Adds bytes, with their number, so that no two sequences of parts have the same digest.
         *
         * @param bytes any bytes; read to the end
         * @return this
         */
        public Builder add(ByteBuffer bytes) {
            digest.update(
                    ByteBuffer.allocate(Integer.BYTES).putInt(bytes.remaining()).flip());
            digest.update(bytes);
            return this;
        }

        /**
         * Returns the fingerprint of the added parts.
         *
         * @return fingerprint, other than {@link Fingerprint#NONE}
         */
        public Fingerprint build() {
            long bits = ByteBuffer.wrap(digest.digest()).getLong();
            return new Fingerprint(bits == NONE.bits() ? 1 : bits);
        }
    }
}
