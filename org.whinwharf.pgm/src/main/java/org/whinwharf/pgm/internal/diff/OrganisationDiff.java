package org.whinwharf.pgm.internal.diff;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Organisation;

/** Compares organisations: who comes, who goes, whose credentials, tiers and shares change. */
final class OrganisationDiff {
    private static final String AREA = "organisations";

    private final Map<String, Organisation> old;
    private final Map<String, Organisation> fresh;
    private final Changes changes;

    OrganisationDiff(Document before, Document after, Changes changes) {
        this.old = byName(before);
        this.fresh = byName(after);
        this.changes = changes;
    }

    void call() {
        report("diff.removed.organisations", true, only(old, fresh));
        report("diff.added.organisations", false, only(fresh, old));
        changeWeights();
        changeCredentials();
    }

    private void changeWeights() {
        Map<String, List<String>> byChange = new TreeMap<>();
        for (Organisation now : fresh.values()) {
            Organisation was = old.get(now.getName());
            if (was != null && was.getWeight() != now.getWeight()) {
                String change = was.getWeight() + " -> " + now.getWeight();
                byChange.computeIfAbsent(change, key -> new ArrayList<>()).add(now.getName());
            }
        }
        byChange.forEach(
                (change, names) -> changes.plain(AREA, "diff.weight", Names.list(names), change, names.size()));
    }

    private void changeCredentials() {
        List<String> lost = new ArrayList<>();
        List<String> gained = new ArrayList<>();
        Map<String, List<String>> moved = new TreeMap<>();
        for (Organisation now : fresh.values()) {
            if (!old.containsKey(now.getName())) {
                continue;
            }
            Map<ByteString, String> was = tiers(old.get(now.getName()));
            Map<ByteString, String> tiers = tiers(now);
            if (!tiers.keySet().containsAll(was.keySet())) {
                lost.add(now.getName());
            }
            if (!was.keySet().containsAll(tiers.keySet())) {
                gained.add(now.getName());
            }
            tiers.forEach((hash, tier) -> {
                if (was.containsKey(hash) && !was.get(hash).equals(tier)) {
                    String change = was.get(hash) + " -> " + tier;
                    moved.computeIfAbsent(change, key -> new ArrayList<>()).add(now.getName());
                }
            });
        }
        report("diff.credentials.lost", true, lost);
        report("diff.credentials.gained", false, gained);
        moved.forEach((change, names) ->
                changes.risky(AREA, "diff.credentials.moved", Names.list(names), change, names.size()));
    }

    private void report(String key, boolean risky, List<String> names) {
        if (names.isEmpty()) {
            return;
        }
        if (risky) {
            changes.risky(AREA, key, Names.list(names), names.size());
        } else {
            changes.plain(AREA, key, Names.list(names), names.size());
        }
    }

    private static List<String> only(Map<String, Organisation> these, Map<String, Organisation> others) {
        return these.keySet().stream().filter(name -> !others.containsKey(name)).toList();
    }

    private static Map<ByteString, String> tiers(Organisation organisation) {
        Map<ByteString, String> tiers = new LinkedHashMap<>();
        for (Credential credential : organisation.getCredentialsList()) {
            tiers.put(credential.getSha256128(), credential.getTier());
        }
        return tiers;
    }

    private static Map<String, Organisation> byName(Document document) {
        Map<String, Organisation> map = new LinkedHashMap<>();
        document.getOrganisationsList().forEach(each -> map.put(each.getName(), each));
        return map;
    }
}
