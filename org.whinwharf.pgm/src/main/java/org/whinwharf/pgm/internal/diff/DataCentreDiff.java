package org.whinwharf.pgm.internal.diff;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.pgm.internal.fleet.FleetLoad;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.ServiceSpec;

/** Compares which data centres are in service, and asks whether those that stay can carry the load. */
final class DataCentreDiff {
    private static final String AREA = "dataCentres";

    private final Document before;
    private final Document after;
    private final Optional<FleetLoad> load;
    private final Changes changes;

    DataCentreDiff(Document before, Document after, Optional<FleetLoad> load, Changes changes) {
        this.before = before;
        this.after = after;
        this.load = load;
        this.changes = changes;
    }

    void call() {
        Map<String, DataCentre> old = byName(before);
        Map<String, DataCentre> fresh = byName(after);
        boolean anyLeaves = false;
        for (DataCentre centre : old.values()) {
            DataCentre now = fresh.get(centre.getName());
            if (now == null) {
                changes.plain(AREA, "diff.removed.dataCentres", centre.getName());
            } else {
                change(centre, now);
            }
            boolean stays = now != null && now.getInService();
            anyLeaves |= centre.getInService() && !stays;
        }
        fresh.values().stream()
                .filter(centre -> !old.containsKey(centre.getName()))
                .forEach(this::added);
        if (anyLeaves) {
            checkTheRest();
        }
    }

    private void change(DataCentre old, DataCentre now) {
        if (old.getInService() && !now.getInService()) {
            changes.plain(AREA, "diff.out", now.getName());
        }
        if (!old.getInService() && now.getInService()) {
            changes.plain(AREA, "diff.back", now.getName());
        }
        if (!old.getRegion().equals(now.getRegion())) {
            changes.plain(AREA, "diff.region", now.getName(), old.getRegion(), now.getRegion());
        }
    }

    private void added(DataCentre centre) {
        String key = centre.getInService() ? "diff.added.dataCentres" : "diff.added.out";
        changes.plain(AREA, key, centre.getName());
    }

    private void checkTheRest() {
        if (load.isEmpty()) {
            changes.risky(AREA, "diff.rest.unknown");
            return;
        }
        Set<String> inService = after.getDataCentresList().stream()
                .filter(DataCentre::getInService)
                .map(DataCentre::getName)
                .collect(Collectors.toSet());
        for (ServiceSpec service : after.getServicesList()) {
            checkService(service.getName(), inService, load.get());
        }
    }

    private void checkService(String service, Set<String> inService, FleetLoad fleet) {
        int targets = fleet.targets(service, inService);
        int bears = fleet.limit(service, inService);
        int needs = fleet.demand(service);
        if (targets == 0) {
            changes.risky(AREA, "diff.rest.none", service);
        } else if (!fleet.isMeasured(service)) {
            changes.risky(AREA, "diff.rest.unmeasured", service, targets, fleet.targets(service));
        } else if (bears < needs) {
            changes.risky(AREA, "diff.rest.short", service, needs, bears, targets);
        } else {
            changes.plain(AREA, "diff.rest.enough", service, needs, bears, targets);
        }
    }

    private static Map<String, DataCentre> byName(Document document) {
        Map<String, DataCentre> map = new LinkedHashMap<>();
        document.getDataCentresList().forEach(centre -> map.put(centre.getName(), centre));
        return map;
    }
}
