package org.whinwharf.document;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;

/** Makes and hashes the credentials under which organisations send requests. */
public final class Credentials {
    /** Length of a credential's hash in a document, in bytes. */
    public static final int HASH_BYTES = 16;

    private static final int SECRET_BYTES = 32;
    private static final BaseEncoding TEXT = BaseEncoding.base64Url().omitPadding();

    private Credentials() {}

    /**
     * Makes a fresh credential.
     *
     * <p>It carries 256 random bits, so that a plain hash of it in the document gives nothing to guess from.
     *
     * @param random source of the random bits
     * @return credential, 43 characters
     */
    public static String fresh(SecureRandom random) {
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        return TEXT.encode(secret);
    }

    /**
     * Hashes a credential as documents hold it.
     *
     * @param credential credential as a caller sends it
     * @return first 16 bytes of its SHA-256
     */
    public static byte[] hash(String credential) {
        byte[] whole =
                Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).asBytes();
        return Arrays.copyOf(whole, HASH_BYTES);
    }
}
