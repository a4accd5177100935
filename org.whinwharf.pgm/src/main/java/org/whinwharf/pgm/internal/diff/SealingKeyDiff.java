package org.whinwharf.pgm.internal.diff;

import com.google.protobuf.ByteString;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.SealingKey;

/**
 * Compares the keys that seal tickets.
 *
 * <p>A key must be known everywhere before it seals, and must stay until the last ticket it sealed has run out. A
 * caller whose ticket cannot be opened gets "outcome unknown" for requests that may have run.
 */
final class SealingKeyDiff {
    private static final String AREA = "sealingKeys";

    private final Document before;
    private final Document after;
    private final Changes changes;

    SealingKeyDiff(Document before, Document after, Changes changes) {
        this.before = before;
        this.after = after;
        this.changes = changes;
    }

    void call() {
        Map<Integer, ByteString> old = keys(before);
        Map<Integer, ByteString> fresh = keys(after);
        int oldFirst = before.getSealingKeys(0).getId();
        int newFirst = after.getSealingKeys(0).getId();
        long minutes = TimeUnit.MILLISECONDS.toMinutes(before.getTiming().getTicketMillis());
        old.forEach((id, key) -> {
            if (key.equals(fresh.get(id))) {
                return;
            }
            String kind = fresh.containsKey(id) ? "replaced" : "removed";
            String use = id == oldFirst ? ".first" : ".other";
            changes.risky(AREA, "diff.key." + kind + use, Integer.toString(id), minutes);
        });
        fresh.keySet().stream()
                .filter(id -> !old.containsKey(id) && id != newFirst)
                .forEach(id -> changes.plain(AREA, "diff.key.added", Integer.toString(id)));
        if (oldFirst != newFirst) {
            changeFirst(Integer.toString(newFirst), old.containsKey(newFirst));
        }
    }

    private void changeFirst(String id, boolean known) {
        if (known) {
            changes.plain(AREA, "diff.key.first", id);
        } else {
            changes.risky(AREA, "diff.key.first.unknown", id);
        }
    }

    private static Map<Integer, ByteString> keys(Document document) {
        Map<Integer, ByteString> keys = new LinkedHashMap<>();
        for (SealingKey key : document.getSealingKeysList()) {
            keys.put(key.getId(), key.getKey());
        }
        return keys;
    }
}
