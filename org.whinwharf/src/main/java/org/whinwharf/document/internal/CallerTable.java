package org.whinwharf.document.internal;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.whinwharf.document.Credentials;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.Organisation;

/**
 * Organisations and their credentials in flat arrays.
 *
 * <p>Tens of thousands of organisations as objects would cost some hundred bytes each on every host; here one costs its
 * name and 27 bytes a credential.
 */
public final class CallerTable {
    private static final int NOT_FOUND = -1;

    private final long[] hashHigh;
    private final long[] hashLow;
    private final int[] organisationOf;
    private final byte[] rankOf;
    private final byte[] names;
    private final int[] nameStart;
    private final short[] weights;

    private CallerTable(List<Entry> entries, List<Organisation> organisations) {
        hashHigh = entries.stream().mapToLong(Entry::high).toArray();
        hashLow = entries.stream().mapToLong(Entry::low).toArray();
        organisationOf = entries.stream().mapToInt(Entry::organisation).toArray();
        rankOf = new byte[entries.size()];
        for (int i = 0; i < rankOf.length; i++) {
            rankOf[i] = (byte) entries.get(i).rank();
        }
        nameStart = new int[organisations.size() + 1];
        weights = new short[organisations.size()];
        names = packNames(organisations);
    }

    /**
     * Builds the table of a valid document.
     *
     * @param organisations organisations of the document
     * @param rankByTier rank of each tier, by its name
     * @return table
     */
    public static CallerTable of(List<Organisation> organisations, Map<String, Integer> rankByTier) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < organisations.size(); i++) {
            for (Credential credential : organisations.get(i).getCredentialsList()) {
                entries.add(Entry.of(credential.getSha256128(), i, rankByTier.get(credential.getTier())));
            }
        }
        entries.sort(Comparator.comparing(Entry::high, Long::compareUnsigned)
                .thenComparing(Entry::low, Long::compareUnsigned));
        return new CallerTable(entries, organisations);
    }

    /**
     * Finds a credential.
     *
     * <p>A comparison that ends at the first differing byte tells an attacker, by its time, how much of a guess is
     * right. Here the search takes the same steps whatever it meets, and one comparison of fixed time decides.
     *
     * @param hash first 16 bytes of the credential's SHA-256
     * @return number of the entry; negative when there is none
     */
    public int find(byte[] hash) {
        if (hash.length != Credentials.HASH_BYTES || hashHigh.length == 0) {
            return NOT_FOUND;
        }
        ByteBuffer wanted = ByteBuffer.wrap(hash);
        int entry = lastNotAbove(wanted.getLong(), wanted.getLong());
        byte[] stored = ByteBuffer.allocate(Credentials.HASH_BYTES)
                .putLong(hashHigh[entry])
                .putLong(hashLow[entry])
                .array();
        return MessageDigest.isEqual(stored, hash) ? entry : NOT_FOUND;
    }

    /**
     * Returns the name of an entry's organisation.
     *
     * @param entry number of the entry
     * @return name
     */
    public String organisation(int entry) {
        int organisation = organisationOf[entry];
        int start = nameStart[organisation];
        return new String(names, start, nameStart[organisation + 1] - start, StandardCharsets.UTF_8);
    }

    /**
     * Returns the weight of an entry's organisation.
     *
     * @param entry number of the entry
     * @return weight
     */
    public int weight(int entry) {
        return weights[organisationOf[entry]];
    }

    /**
     * Returns the rank of an entry's tier.
     *
     * @param entry number of the entry
     * @return rank
     */
    public int rank(int entry) {
        return rankOf[entry];
    }

    /**
     * Returns the number of organisations.
     *
     * @return number
     */
    public int organisations() {
        return weights.length;
    }

    /**
     * Finds the last entry that is not above a hash, or the first one, in a number of steps that only depends on size.
     */
    private int lastNotAbove(long high, long low) {
        int base = 0;
        for (int left = hashHigh.length; left > 1; left -= left / 2) {
            int middle = base + left / 2;
            base = compare(middle, high, low) <= 0 ? middle : base;
        }
        return base;
    }

    private int compare(int entry, long high, long low) {
        int first = Long.compareUnsigned(hashHigh[entry], high);
        int second = Long.compareUnsigned(hashLow[entry], low);
        return first == 0 ? second : first;
    }

    private byte[] packNames(List<Organisation> organisations) {
        ByteString.Output packed = ByteString.newOutput();
        for (int i = 0; i < organisations.size(); i++) {
            byte[] name = organisations.get(i).getName().getBytes(StandardCharsets.UTF_8);
            packed.write(name, 0, name.length);
            nameStart[i + 1] = nameStart[i] + name.length;
            weights[i] = (short) organisations.get(i).getWeight();
        }
        return packed.toByteString().toByteArray();
    }

    private record Entry(long high, long low, int organisation, int rank) {
        static Entry of(ByteString hash, int organisation, int rank) {
            ByteBuffer bytes = hash.asReadOnlyByteBuffer();
            return new Entry(bytes.getLong(), bytes.getLong(), organisation, rank);
        }
    }
}
