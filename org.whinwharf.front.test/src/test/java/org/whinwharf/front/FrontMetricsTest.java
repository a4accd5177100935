package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class FrontMetricsTest {
    /** An operator sees what the coordinator takes the work to be, and since when. */
    @Test
    void holdTimesShowTheLastReportByServiceAndRank() {
        FrontMetrics metrics = new FrontMetrics();
        metrics.recordHoldTime("notes", 17, 950.4, 1_700_000_000_000L);
        metrics.recordHoldTime("notes", 17, 420, 1_700_000_060_000L);
        metrics.recordHoldTime("notes", 18, 100, 1_700_000_000_000L);
        String text = metrics.scrape();
        assertThat(text, containsString("whinwharf_work_hold_milliseconds{rank=\"17\",service=\"notes\"} 420"));
        assertThat(text, containsString("whinwharf_work_hold_milliseconds{rank=\"18\",service=\"notes\"} 100"));
        assertThat(text, containsString("whinwharf_work_changed_seconds{rank=\"17\",service=\"notes\"} 1.70000006E9"));
        assertThat(text, not(containsString("950")));
    }
}
