package org.whinwharf.entry.internal;

import java.util.List;
import java.util.Optional;
import org.whinwharf.document.DocumentView;
import org.whinwharf.home.HomeView;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Host;

/** Document and host list as the home sees them. */
final class EntryView implements HomeView {
    private static final double SAME_REGION_MILLIS = 2;
    private static final double OTHER_REGION_MILLIS = 50;

    private final DocumentView document;
    private final Membership membership;
    private final String ownDataCentre;

    EntryView(DocumentView document, Membership membership, String ownDataCentre) {
        this.document = document;
        this.membership = membership;
        this.ownDataCentre = ownDataCentre;
    }

    @Override
    public boolean isInService(String dataCentre) {
        return membership.isInService(dataCentre);
    }

    @Override
    public boolean isUsable(String target) {
        return membership.isUsable(target);
    }

    @Override
    public List<SliceId> slices(String service) {
        return membership.slices(service);
    }

    @Override
    public List<String> owners(SliceId slice) {
        return membership.candidates(slice).stream().map(Host::getName).toList();
    }

    @Override
    public double distanceMillis(String dataCentre) {
        if (dataCentre.equals(ownDataCentre)) {
            return 0;
        }
        boolean sameRegion =
                region(dataCentre).isPresent() && region(dataCentre).equals(region(ownDataCentre));
        return sameRegion ? SAME_REGION_MILLIS : OTHER_REGION_MILLIS;
    }

    @Override
    public double retryRatio() {
        return document.retryBudget().getRatio();
    }

    @Override
    public double retryFloorPerSecond() {
        return document.retryBudget().getFloorPerSecond();
    }

    private Optional<String> region(String dataCentre) {
        return document.dataCentre(dataCentre).map(DataCentre::getRegion);
    }
}
