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
 * This process's copy of the published items; it never goes back to an older revision.
 *
 * <p>It is filled by the publishing service or by a peer, whichever has the higher revision, and serves peers that lost
 * the service.
 */
public final class ItemMirror {
    /** Removals kept for peers that ask for what is new; older askers get everything. */
    private static final int MAX_REMOVALS = 512;

    private final Map<String, PublishedValue> items = new HashMap<>();
    /** Removals by key, oldest first. */
    private final Map<String, PublishedValue> removals = new LinkedHashMap<>();

    private long revision;
    /** Revision from which on all removals are known. */
    private long compactedRevision;

    /**
     * Returns the revision up to which the copy is complete.
     *
     * @return revision; 0 before the first copy
     */
    public long revision() {
        return revision;
    }

    /**
     * Takes everything that is published.
     *
     * @param all all items
     * @param atRevision revision up to which they are complete
     * @return what changed, removals included; empty when the copy here is newer
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
        if (revision == 0) {
            compactedRevision = atRevision;
        }
        changed.forEach(this::put);
        revision = atRevision;
        return changed;
    }

    /**
     * Takes changes that follow the copy's revision.
     *
     * @param events changes in order
     * @param upToRevision revision up to which they are complete
     * @return what changed here
     */
    public List<PublishedValue> apply(Collection<PublishedValue> events, long upToRevision) {
        List<PublishedValue> changed = new ArrayList<>();
        for (PublishedValue event : events) {
            PublishedValue known = items.get(event.key());
            // What is held may be newer than the copy's revision, since pages of a copy are read one after another.
            long heldRevision = known == null ? revision : known.revision();
            if (event.revision() > heldRevision && (known != null || !event.removed())) {
                put(event);
                changed.add(event);
            }
        }
        revision = Math.max(revision, upToRevision);
        return changed;
    }

    /**
     * Returns what changed after a revision: of each item the newest state only.
     *
     * @param afterRevision revision that the asker holds
     * @return items and removals by revision; empty when they are no longer known and the asker needs everything
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
     * Returns everything.
     *
     * @return all items
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
