package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.whinwharf.traffic.quota.AdmissionReports;
import org.whinwharf.traffic.quota.QuotaLedger;

/** Tests that reports of bounded size keep many organisations to their quotas. */
class AdmissionReportsTest {
    private static final int PROCESSES = 7;
    private static final double RATE = 20_000;
    private static final long REQUEST_TOKENS = 2_000;
    private static final long WINDOW_MILLIS = 8_000;
    /** What a window of 8 s may hold: a quarter above rate and burst, and 140,000 tokens. */
    private static final double MAX_ADMITTED_TOKENS = (RATE * 8 + RATE) * 1.25 + 140_000;

    private static final long REPORT_INTERVAL_MILLIS = 150;
    private static final int REPEATS = 24;
    /** Entries of 18 bytes at most leave room for the rest of a report in a datagram of 1,300 bytes. */
    private static final int MAX_ENTRIES = 60;

    private final Random random = new Random(7);

    /** Guards against reports that grow with the number of organisations ever served, until they cannot be sent. */
    @Test
    void sizeOfAReportDoesNotDependOnTheNumberOfOrganisations() {
        QuotaLedger ledger = ledger(31_000);
        Set<Integer> reported = new HashSet<>();
        for (int i = 0; i < 31_000; i++) {
            ledger.tryAdmit(name(i), REQUEST_TOKENS, 0);
        }
        long now = 0;
        for (; reported.size() < 31_000 && now < 200_000; now += REPORT_INTERVAL_MILLIS) {
            List<AdmissionReports.Entry> report = ledger.nextReport(REPEATS, now);
            assertThat(report.size(), lessThanOrEqualTo(MAX_ENTRIES));
            report.forEach(entry -> reported.add(entry.organisationDigest()));
        }
        assertThat("organisations reported after " + now + " ms", reported.size(), is(31_000));
    }

    /** Guards against an organisation that floods while the reports are full of others. */
    @Test
    void organisationWithTheMostUnreportedTokensIsReportedFirst() {
        QuotaLedger ledger = ledger(31_000);
        for (int i = 0; i < 31_000; i++) {
            ledger.tryAdmit(name(i), 200, 0);
        }
        ledger.tryAdmit(name(30_999), REQUEST_TOKENS, 0);
        List<Integer> digests = ledger.nextReport(REPEATS, 0).stream()
                .map(AdmissionReports.Entry::organisationDigest)
                .toList();
        assertThat(digests.contains(name(30_999).hashCode()), is(true));
    }

    /** Guards against a report that is lost and leaves what it said unknown for good. */
    @Test
    void reportedTotalsAreRepeatedForAWhile() {
        QuotaLedger ledger = ledger(1);
        ledger.tryAdmit(name(0), REQUEST_TOKENS, 0);
        AdmissionReports.Entry first = new AdmissionReports.Entry(name(0).hashCode(), REQUEST_TOKENS, 0);
        AdmissionReports.Entry repeated =
                new AdmissionReports.Entry(name(0).hashCode(), REQUEST_TOKENS, REQUEST_TOKENS);
        assertThat(ledger.nextReport(REPEATS, 0), is(List.of(first)));
        assertThat(ledger.nextReport(REPEATS, 20_000), is(List.of(repeated)));
        assertThat(ledger.nextReport(REPEATS, 20_001), is(List.of()));
    }

    /** Guards against a debt of all that a peer admitted since its start, once a late report tells of it. */
    @Test
    void totalsFromBeforeTheLocalStartAreNoDebtInALaterReport() {
        QuotaLedger ledger = ledger(2);
        receive(ledger, "front-1", new AdmissionReports.Entry(name(0).hashCode(), 0, 0), 0);
        long total = 30 * (long) RATE;
        receive(ledger, "front-1", new AdmissionReports.Entry(name(1).hashCode(), total + 5, total), 5_000);
        assertThat((double) ledger.levelTokens(name(1), 5_000), is(RATE - 5));
        receive(ledger, "front-1", new AdmissionReports.Entry(name(1).hashCode(), total + 7, total + 7), 5_000);
        assertThat((double) ledger.levelTokens(name(1), 5_000), is(RATE - 7));
    }

    /**
     * One organisation sends many times its quota to all processes, after all others have sent a request to each, with
     * and without lost reports. Guards against a quota that each process admits by itself.
     */
    @ParameterizedTest
    @CsvSource({"5, 0", "250, 0", "5000, 0", "31000, 0", "5, 20", "250, 20", "5000, 20", "31000, 20"})
    void floodKeepsToTheQuota(int organisations, int lostPercent) {
        Map<String, QuotaLedger> fleet = new LinkedHashMap<>();
        for (int i = 0; i < PROCESSES; i++) {
            fleet.put("front-" + i, ledger(organisations));
        }
        fleet.values().forEach(ledger -> {
            for (int i = 0; i < organisations; i++) {
                ledger.tryAdmit(name(i), 200, 0);
            }
        });
        List<QuotaLedger> ledgers = new ArrayList<>(fleet.values());
        long admitted = 0;
        for (long now = 1; now <= WINDOW_MILLIS; now++) {
            QuotaLedger ledger = ledgers.get((int) (now % PROCESSES));
            // 7.5 times the usual, which is a 1.8th of the quota.
            if (now % 24 == 0 && ledger.tryAdmit(name(0), REQUEST_TOKENS, now)) {
                admitted += REQUEST_TOKENS;
            }
            if (now % REPORT_INTERVAL_MILLIS == 0) {
                exchangeReports(fleet, lostPercent, now);
            }
        }
        assertThat((double) admitted, lessThan(MAX_ADMITTED_TOKENS));
        assertThat((double) admitted, greaterThan(RATE * 8 * 0.9));
    }

    private void exchangeReports(Map<String, QuotaLedger> fleet, int lostPercent, long now) {
        fleet.forEach((sender, senderLedger) -> {
            List<AdmissionReports.Entry> report = senderLedger.nextReport(REPEATS, now);
            fleet.forEach((receiver, receiverLedger) -> {
                if (!receiver.equals(sender) && random.nextInt(100) >= lostPercent) {
                    report.forEach(entry -> receive(receiverLedger, sender, entry, now));
                }
            });
        });
    }

    private static void receive(QuotaLedger ledger, String sender, AdmissionReports.Entry entry, long now) {
        ledger.receiveTotal(
                sender,
                1,
                entry.organisationDigest(),
                entry.admittedTotal(),
                OptionalLong.of(entry.reportedTotal()),
                now);
    }

    private static QuotaLedger ledger(int organisations) {
        Map<String, Double> rates = new LinkedHashMap<>();
        for (int i = 0; i < organisations; i++) {
            rates.put(name(i), RATE);
        }
        QuotaLedger ledger = new QuotaLedger(true);
        ledger.update(Fixtures.catalogWithQuotas(rates), 0);
        return ledger;
    }

    private static String name(int organisation) {
        return "organisation-" + organisation;
    }
}
