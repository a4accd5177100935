package org.whinwharf.traffic.items;

/**
 * A published item, or the removal of one.
 *
 * @param key the item's key
 * @param value the item's bytes, or null when it was removed; not copied, so the array must not be modified
 * @param revision revision of the item's last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedValue(String key, byte[] value, long revision) {
    /**
     * Returns whether this is a removal.
     *
     * @return true when the item was removed
     */
    public boolean removed() {
        return value == null;
    }
}
