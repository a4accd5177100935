package org.whinwharf.pgm.internal.diff;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.Tier;

/** Compares the tiers. */
final class TierDiff {
    private static final String AREA = "tiers";

    private final Document before;
    private final Document after;
    private final Changes changes;

    TierDiff(Document before, Document after, Changes changes) {
        this.before = before;
        this.after = after;
        this.changes = changes;
    }

    void call() {
        Map<String, Integer> old = ranks(before);
        Map<String, Integer> fresh = ranks(after);
        old.forEach((name, rank) -> {
            Integer now = fresh.get(name);
            if (now == null) {
                removed(name);
            } else if (!now.equals(rank)) {
                changes.risky(AREA, "diff.rank", name, rank, now);
            }
        });
        fresh.forEach((name, rank) -> {
            if (!old.containsKey(name)) {
                changes.plain(AREA, "diff.added.tiers", name, rank);
            }
        });
    }

    private void removed(String tier) {
        List<String> callers = before.getOrganisationsList().stream()
                .filter(organisation -> organisation.getCredentialsList().stream()
                        .map(Credential::getTier)
                        .anyMatch(tier::equals))
                .map(Organisation::getName)
                .toList();
        changes.risky(AREA, "diff.removed.tiers", tier, callers.size(), Names.list(callers));
    }

    private static Map<String, Integer> ranks(Document document) {
        Map<String, Integer> ranks = new LinkedHashMap<>();
        for (Tier tier : document.getTiersList()) {
            ranks.put(tier.getName(), tier.getRank());
        }
        return ranks;
    }
}
