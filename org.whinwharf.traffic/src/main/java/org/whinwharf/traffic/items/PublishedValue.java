package org.whinwharf.traffic.items;

/**
 * A published item, or the removal of one.
 *
 * @param key the item's key
 * @param value the item's bytes, or null when it was removed; not copied, so the array must not be modified
 * @param revision revision of the item's last change
 * @param createdRevision revision at which the item was created; 0 if it is not known
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedValue(String key, byte[] value, long revision, long createdRevision) {
    /** Creates a value of which it is not known when it was created. */
    public PublishedValue(String key, byte[] value, long revision) {
        this(key, value, revision, 0);
    }

    /**
     * Returns whether this is the first value of an item.
     *
     * @return true if no item had the key right before
     */
    public boolean created() {
        return createdRevision == revision;
    }

    /**
     * Returns whether this is a removal.
     *
     * @return true when the item was removed
     */
    public boolean removed() {
        return value == null;
    }
}
