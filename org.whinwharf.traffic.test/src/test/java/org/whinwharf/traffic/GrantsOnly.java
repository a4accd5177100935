package org.whinwharf.traffic;

import org.whinwharf.traffic.coordination.Ask;
import org.whinwharf.traffic.coordination.Outbox;
import org.whinwharf.traffic.coordination.RefusalGrounds;
import org.whinwharf.traffic.coordination.TargetReports;

/** Takes a coordinator's decisions where a test looks at grants, and ignores all others. */
abstract class GrantsOnly implements Outbox, TargetReports {
    @Override
    public void waiting(Ask ask) {}

    @Override
    public void shed(Ask ask, RefusalGrounds grounds) {}

    @Override
    public void overQuota(Ask ask, RefusalGrounds grounds) {}

    @Override
    public void answered(String targetId) {}

    @Override
    public void erred(String targetId) {}

    @Override
    public void failed(String targetId, boolean certain) {}
}
