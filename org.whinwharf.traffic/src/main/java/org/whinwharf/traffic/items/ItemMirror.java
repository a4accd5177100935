package org.whinwharf.traffic.items;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Local copy of the published items. It never reverts to an older revision.
 *
 * <p>The mirror is updated from the publishing service or from a peer, whichever has the higher revision, and serves
 * peers that cannot reach the service.
 */
public final class ItemMirror {
    /** Number of removals retained for incremental updates; a peer with an older revision gets a full copy. */
    private static final int MAX_REMOVALS = 512;

    private final Map<String, PublishedValue> items = new HashMap<>();
    /** Removals by key, oldest first. */
    private final Map<String, PublishedValue> removals = new LinkedHashMap<>();

    private long revision;
    /** Revision after which all removals are retained; removals up to it may have been dropped. */
    private long compactedRevision;

    /**
     * Returns the revision up to which the mirror is complete.
     *
     * @return revision; 0 before the first copy
     */
    public long revision() {
        return revision;
    }

    /**
     * Replaces the contents with a full copy of the published items.
     *
     * @param all all published items
     * @param atRevision revision up to which the copy is complete
     * @return changed items, removals included; empty when the mirror is newer than the copy
     */
    public List<PublishedValue> replace(Collection<PublishedValue> all, long atRevision) {
        if (atRevision < revision) {
            return List.of();
        }
        List<PublishedValue> changed = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (PublishedValue item : all) {
            keys.add(item.key());
            PublishedValue known = items.get(item.key());
            if (known == null || known.revision() < item.revision()) {
                changed.add(item);
            }
        }
        for (PublishedValue known : items.values()) {
            if (!keys.contains(known.key())) {
                changed.add(new PublishedValue(known.key(), null, atRevision));
            }
        }
        changed.forEach(this::put);
        revision = atRevision;
        // A copy does not tell of items that came and went since the revision before it.
        compactedRevision = atRevision;
        return changed;
    }

    /**
     * Applies changes that follow the mirror's revision. A change older than the stored item is skipped.
     *
     * @param events changes in order
     * @param upToRevision revision up to which the changes are complete
     * @return the changes that were applied
     */
    public List<PublishedValue> apply(Collection<PublishedValue> events, long upToRevision) {
        List<PublishedValue> changed = new ArrayList<>();
        for (PublishedValue event : events) {
            PublishedValue known = items.get(event.key());
            // A stored item may be newer than the mirror's revision because pages of a copy are read one after another.
            long storedRevision = known == null ? revision : known.revision();
            if (event.revision() > storedRevision) {
                // Peers may know an item of which only the removal came here.
                put(event);
                if (known != null || !event.removed()) {
                    changed.add(event);
                }
            }
        }
        revision = Math.max(revision, upToRevision);
        return changed;
    }

    /**
     * Tells whether changes that name only the newest state of each item show that an item came and went unnoticed.
     *
     * @param changes changes that follow the mirror's revision
     * @return true if an item was removed of which the mirror knows nothing else
     */
    public boolean missedItem(Collection<PublishedValue> changes) {
        return changes.stream()
                .anyMatch(
                        change -> change.removed() && change.revision() > revision && !items.containsKey(change.key()));
    }

    /**
     * Returns the changes after a revision, with only the newest state of each item.
     *
     * @param afterRevision revision that the requesting peer holds
     * @return items and removals in order of revision; empty when removals since then are no longer retained and the
     *     peer needs a full copy
     */
    public Optional<List<PublishedValue>> changesAfter(long afterRevision) {
        if (afterRevision < compactedRevision || afterRevision == 0) {
            return Optional.empty();
        }
        return Optional.of(Stream.concat(items.values().stream(), removals.values().stream())
                .filter(change -> change.revision() > afterRevision)
                .sorted(Comparator.comparingLong(PublishedValue::revision))
                .toList());
    }

    /**
     * Returns all items.
     *
     * @return items, in no order
     */
    public Collection<PublishedValue> all() {
        return items.values();
    }

    private void put(PublishedValue item) {
        removals.remove(item.key());
        if (!item.removed()) {
            items.put(item.key(), item);
            return;
        }
        items.remove(item.key());
        removals.put(item.key(), item);
        if (removals.size() > MAX_REMOVALS) {
            Iterator<PublishedValue> oldestFirst = removals.values().iterator();
            compactedRevision = oldestFirst.next().revision();
            oldestFirst.remove();
        }
    }
}
