package org.whinwharf.entry.internal;

import java.util.List;
import org.whinwharf.home.HomeView;
import org.whinwharf.wire.message.SliceId;

/** What a home sees before the first document: nothing is in service. */
final class NoView implements HomeView {
    @Override
    public boolean isInService(String dataCentre) {
        return false;
    }

    @Override
    public boolean isUsable(String target) {
        return false;
    }

    @Override
    public List<SliceId> slices(String service) {
        return List.of();
    }

    @Override
    public List<String> owners(SliceId slice) {
        return List.of();
    }

    @Override
    public double distanceMillis(String dataCentre) {
        return 0;
    }

    @Override
    public double retryRatio() {
        return 0;
    }

    @Override
    public double retryFloorPerSecond() {
        return 0;
    }
}
