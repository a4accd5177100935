package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.quota.AdmissionReports;
import org.whinwharf.traffic.quota.QuotaLedger;

/**
 * One organisation sends six times its quota to seven processes. The figures are those of the smaller deployment: a
 * quota of 36,000 tokens per second with a burst of the same size, requests of 1,500 tokens, gossip every 150 ms, and a
 * window of 8 s in which a quarter plus 140,000 tokens above the quota are tolerated.
 */
class QuotaLedgerTest {
    private static final int PROCESSES = 7;
    private static final double RATE = 36_000;
    private static final double MAX_ADMITTED_TOKENS = (RATE * 8 + RATE) * 1.25 + 140_000;
    private static final long REQUEST_TOKENS = 1_500;
    private static final long GOSSIP_INTERVAL_MILLIS = 150;
    private static final int REPEATS = 24;

    @Test
    void allProcessesTogetherKeepToTheQuotaAndUseIt() {
        List<QuotaLedger> fleet = fleet(true);
        long admitted = flood(fleet, fleet.size(), 0, 8_000);
        assertThat((double) admitted, lessThan(MAX_ADMITTED_TOKENS));
        assertThat((double) admitted, greaterThan(RATE * 9 * 0.97));
    }

    /**
     * A network partition separates three processes from the other four. Neither side receives the other's reports, and
     * the organisation sends to both. Without a share left to the other side, twice the quota would be admitted.
     */
    @Test
    void partitionedHalvesKeepToTheQuotaTogether() {
        List<QuotaLedger> fleet = fleet(true);
        flood(fleet, fleet.size(), 0, 8_000);
        for (int i = 0; i < PROCESSES; i++) {
            fleet.get(i).updateReachableShare(1.2 * (i < 3 ? 3.0 / 7 : 4.0 / 7), 8_000);
        }
        long admitted = flood(fleet, 3, 8_000, 16_000);
        assertThat((double) admitted, lessThan(MAX_ADMITTED_TOKENS));
    }

    /**
     * All processes are killed at once and restart without state while the organisation keeps sending. If each granted
     * the whole burst again, the window would contain the admissions from before and after the restart.
     */
    @Test
    void restartOfAllProcessesKeepsToTheQuota() {
        long before = flood(fleet(true), PROCESSES, 0, 4_000);
        long after = flood(fleet(false), PROCESSES, 4_000, 8_000);
        assertThat((double) (before + after), lessThan(MAX_ADMITTED_TOKENS));
    }

    /**
     * In overload, most requests are admitted by the quota and then rejected because no capacity is free. Their refunds
     * must reach the other processes, which would otherwise count the tokens as used and reject an organisation that is
     * far below its quota.
     */
    @Test
    void refundsReachOtherProcesses() {
        List<QuotaLedger> fleet = fleet(true);
        for (long now = 0; now < 8_000; now += 10) {
            if (fleet.get(0).tryAdmit("obec", REQUEST_TOKENS, now)) {
                fleet.get(0).refund("obec", REQUEST_TOKENS);
            }
            if (now % GOSSIP_INTERVAL_MILLIS == 0) {
                exchangeTotals(fleet, PROCESSES, now);
            }
        }
        assertThat(fleet.get(0).admittedTotals().values().iterator().next(), is(REQUEST_TOKENS));
        assertThat(fleet.get(1).tryAdmit("obec", REQUEST_TOKENS, 8_000), is(true));
    }

    /**
     * An organisation over its quota sends a hundred requests at once. If all got the same Retry-After delay, until the
     * quota admits again, all but one would be rejected a second time.
     */
    @Test
    void retryAfterDelaysOfRejectedCallersAreStaggered() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        while (ledger.tryAdmit("obec", REQUEST_TOKENS, 0)) {
            assertThat(ledger.retryAfterMillis("obec") > 0, is(true));
        }
        long first = ledger.retryAfterMillis("obec");
        for (int i = 0; i < 99; i++) {
            ledger.tryAdmit("obec", REQUEST_TOKENS, 0);
        }
        long last = ledger.retryAfterMillis("obec");
        assertThat((double) (last - first), closeTo(99 * REQUEST_TOKENS / RATE * 1_000, 2));
    }

    /**
     * Guards against a coordinator that tells callers to come back after half an hour, as each of seventy processes.
     */
    @Test
    void coordinatorAdvisesItsCallersByTheWholeRate() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        for (int process = 0; process < 70; process++) {
            ledger.receiveTotal("front-" + process, 1, "obec".hashCode(), 0, 0);
        }
        while (ledger.tryAdmitFor("front-1", "obec", REQUEST_TOKENS, 0)) {
            assertThat(ledger.levelTokens("obec", 0) <= RATE, is(true));
        }
        assertThat((double) ledger.coordinatorRetryAfterMillis("obec"), closeTo(REQUEST_TOKENS / RATE * 1_000, 2));
        for (int i = 0; i < 1_000; i++) {
            ledger.tryAdmitFor("front-1", "obec", REQUEST_TOKENS, 0);
        }
        assertThat(ledger.coordinatorRetryAfterMillis("obec"), is(8_000L));
    }

    /**
     * Guards against callers that are sent back at once, again and again, into an overload that goes on for seconds.
     */
    @Test
    void coordinatorAdviceGrowsWithTheTimeOfRejections() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        for (long now = 0; now < 3_000; now += 10) {
            ledger.tryAdmitFor("front-1", "obec", REQUEST_TOKENS / 2, now);
        }
        assertThat((double) ledger.coordinatorRetryAfterMillis("obec"), greaterThan(1_000.0));
        for (long now = 10_000; ledger.tryAdmitFor("front-1", "obec", REQUEST_TOKENS, now); ) {
            assertThat(ledger.levelTokens("obec", now) <= RATE, is(true));
        }
        assertThat((double) ledger.coordinatorRetryAfterMillis("obec"), lessThan(200.0));
    }

    /**
     * Guards against a debt of many seconds after a partition: the other half used the share of the refill that was
     * left to it, and reports it once it is reachable.
     */
    @Test
    void usageOfTheOtherHalfOfAPartitionIsNoDebt() {
        List<QuotaLedger> fleet = fleet(true);
        flood(fleet, fleet.size(), 0, 8_000);
        long healedAtMillis = 20_000;
        fleet.forEach(ledger -> ledger.updateReachableShare(0.5, 8_000));
        flood(fleet, 3, 8_000, healedAtMillis);
        fleet.forEach(ledger -> ledger.updateReachableShare(1, healedAtMillis));
        exchangeTotals(fleet, PROCESSES, healedAtMillis);
        for (QuotaLedger ledger : fleet) {
            assertThat((double) ledger.levelTokens("obec", healedAtMillis), greaterThan(-RATE));
        }
        long admitted = flood(fleet, PROCESSES, healedAtMillis, healedAtMillis + 8_000);
        assertThat((double) admitted, lessThan(MAX_ADMITTED_TOKENS));
        assertThat((double) admitted, greaterThan(RATE * 8 * 0.9));
    }

    /** Guards against processes that were down and come back to spend, beside the others, what was kept for them. */
    @Test
    void restartedProcessesAreChargedInFull() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), 0, 0);
        ledger.updateReachableShare(0.5, 0);
        ledger.updateReachableShare(1, 10_000);
        long before = ledger.levelTokens("obec", 10_000);
        ledger.receiveTotal("front-1", 2, "obec".hashCode(), REQUEST_TOKENS, 10_000);
        assertThat(ledger.levelTokens("obec", 10_000), is(before - REQUEST_TOKENS));
    }

    /**
     * A peer is restarted many times a day. If each incarnation counted as one more process, the quota would be divided
     * among dead processes, and rejected callers would get ever longer Retry-After delays.
     */
    @Test
    void peerRestartsDoNotLengthenTheRetryAfterDelay() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), 0, 0);
        while (ledger.tryAdmit("obec", REQUEST_TOKENS, 0)) {
            assertThat(ledger.retryAfterMillis("obec") > 0, is(true));
        }
        long before = ledger.retryAfterMillis("obec");
        for (long incarnation = 2; incarnation < 80; incarnation++) {
            ledger.receiveTotal("front-1", incarnation, "obec".hashCode(), 0, 0);
        }
        assertThat(ledger.retryAfterMillis("obec"), is(before));
        ledger.receiveTotal("front-1", 80, "obec".hashCode(), 36_000, 0);
        assertThat((double) (ledger.retryAfterMillis("obec") - before), closeTo(1_000, 2));
    }

    /**
     * A front is restarted during a day and receives the totals that its peers have admitted since their start. Charged
     * as current usage, they would be a debt of half a minute's quota, and the front would reject every request.
     */
    @Test
    void totalsFromBeforeTheLocalStartAreNoDebt() {
        QuotaLedger ledger = new QuotaLedger(false);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), 30 * (long) RATE, 0);
        assertThat(ledger.tryAdmit("obec", REQUEST_TOKENS, 10), is(true));
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), 31 * (long) RATE, 20);
        assertThat(ledger.tryAdmit("obec", REQUEST_TOKENS, 30), is(false));
    }

    /**
     * A coordinator admits a request for another front, which later reports the same tokens as admitted. Counted twice,
     * half of the quota would be lost.
     */
    @Test
    void admissionForAnotherProcessIsCountedOnce() {
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalog(1, RATE, RATE), 0);
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), 0, 0);
        long half = (long) RATE / 2;
        assertThat(ledger.tryAdmitFor("front-1", "obec", half, 0), is(true));
        ledger.receiveTotal("front-1", 1, "obec".hashCode(), half, 0);
        assertThat(ledger.tryAdmitFor("front-1", "obec", half, 0), is(true));
        assertThat(ledger.tryAdmitFor("front-1", "obec", 1, 0), is(false));
    }

    /**
     * An organisation sends seven times its quota to ninety fronts at once, and no coordinator is available. Each front
     * has the whole bucket for the second until it receives the reports of the others.
     */
    @Test
    void uncoordinatedLargeFleetOverspendsByLittle() {
        int processes = 90;
        long admitted = 0;
        for (int process = 0; process < processes; process++) {
            QuotaLedger ledger = new QuotaLedger(true);
            ledger.update(Fixtures.catalog(1, 90 * RATE, 90 * RATE), 0);
            ledger.updateProcessCount(processes);
            for (long now = 0; now < 1_000; now += 50) {
                admitted += ledger.tryAdmitUncoordinated("obec", REQUEST_TOKENS, now) ? REQUEST_TOKENS : 0;
            }
        }
        assertThat((double) admitted, lessThan(2.6 * 90 * RATE));
    }

    private static List<QuotaLedger> fleet(boolean freshFleet) {
        List<QuotaLedger> fleet = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            QuotaLedger ledger = new QuotaLedger(freshFleet);
            ledger.update(Fixtures.catalog(1, RATE, RATE), freshFleet ? 0 : 4_000);
            fleet.add(ledger);
        }
        return fleet;
    }

    /**
     * Sends six times the quota. The processes of the first group exchange reports only among themselves, as do the
     * rest.
     */
    private static long flood(List<QuotaLedger> fleet, int firstGroup, long fromMillis, long toMillis) {
        long admitted = 0;
        for (long now = fromMillis; now < toMillis; now++) {
            QuotaLedger ledger = fleet.get((int) (now % fleet.size()));
            if (now % 7 < 1 && ledger.tryAdmit("obec", REQUEST_TOKENS, now)) {
                admitted += REQUEST_TOKENS;
            }
            if (now % GOSSIP_INTERVAL_MILLIS == 0) {
                exchangeTotals(fleet, firstGroup, now);
            }
        }
        return admitted;
    }

    private static void exchangeTotals(List<QuotaLedger> fleet, int firstGroup, long now) {
        for (int from = 0; from < fleet.size(); from++) {
            List<AdmissionReports.Entry> report = fleet.get(from).nextReport(REPEATS, now);
            for (int to = 0; to < fleet.size(); to++) {
                boolean sameGroup = from < firstGroup == to < firstGroup;
                if (from != to && sameGroup) {
                    receive(fleet.get(to), "front-" + from, report, now);
                }
            }
        }
    }

    private static void receive(QuotaLedger receiver, String process, List<AdmissionReports.Entry> report, long now) {
        report.forEach(entry -> receiver.receiveTotal(
                process,
                1,
                entry.organisationDigest(),
                entry.admittedTotal(),
                OptionalLong.of(entry.reportedTotal()),
                now));
    }
}
