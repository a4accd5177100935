package org.whinwharf.traffic.items;

/**
 * One published item or its removal.
 *
 * @param key the item's key
 * @param value its bytes, or null when it was removed; not copied, so neither side may change them
 * @param revision revision of its last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedValue(String key, byte[] value, long revision) {
    /**
     * Tells whether this is a removal.
     *
     * @return true when the item is gone
     */
    public boolean removed() {
        return value == null;
    }
}
