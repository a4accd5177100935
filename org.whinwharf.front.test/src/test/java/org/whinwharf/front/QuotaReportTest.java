package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.ImmutableOrganisation;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.quota.QuotaLedger;

/** Tests that fronts charge each other's use of quotas however many organisations they have served. */
class QuotaReportTest {
    private static final int ORGANISATIONS = 31_000;
    private static final long QUOTA_TOKENS = 100_000;
    private static final String FLOODING = "organisation-17";

    private static final long SHARE_UPDATE_MILLIS = 600;
    private static final long REFILL_MILLIS = 500;

    private final List<FrontFixture> fronts = new ArrayList<>();

    @AfterEach
    void stopFronts() throws IOException {
        for (FrontFixture front : fronts) {
            front.close();
        }
    }

    /**
     * Guards against a report of all organisations ever served, which no datagram holds, so that nothing is charged.
     */
    @Test
    void useIsChargedByPeersAfterManyOrganisationsWereServed() throws Exception {
        fronts.add(new FrontFixture());
        fronts.add(new FrontFixture(List.of(fronts.get(0).ip())));
        for (FrontFixture front : fronts) {
            front.run(() -> front.front().publish(catalog(ORGANISATIONS, 1, QUOTA_TOKENS)));
        }
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.advertisedFronts() == fronts.size());
        }
        FrontFixture sender = fronts.get(0);
        sender.run(() -> {
            for (int i = 0; i < ORGANISATIONS; i++) {
                quotas(sender).tryAdmit(name(i), 1, nowMillis(sender));
            }
        });
        sender.run(() -> quotas(sender).tryAdmit(FLOODING, QUOTA_TOKENS, nowMillis(sender)));
        FrontFixture receiver = fronts.get(1);
        FrontFixture.await(() -> levelTokens(receiver) <= QUOTA_TOKENS / 2);
        assertThat("the sender is heard", receiver.advertisedFronts(), is(2));
    }

    /** Guards against a front that is cut off from its start on, and uses quotas as if it were the whole fleet. */
    @Test
    void frontThatHasHeardNobodyUsesAPartOfTheQuota() throws Exception {
        FrontFixture front = new FrontFixture(List.of("127.0.253.1", "127.0.253.2", "127.0.253.3"));
        fronts.add(front);
        front.run(() -> front.front().publish(catalog(1, QUOTA_TOKENS, 10 * QUOTA_TOKENS)));
        FrontFixture.await(() -> front.advertisedFronts() == 1);
        // The share of the fleet is taken into account at regular intervals.
        TimeUnit.MILLISECONDS.sleep(SHARE_UPDATE_MILLIS);
        long[] atMillis = new long[2];
        front.run(() -> {
            atMillis[0] = nowMillis(front);
            quotas(front).tryAdmit(name(0), 10 * QUOTA_TOKENS, atMillis[0]);
        });
        TimeUnit.MILLISECONDS.sleep(REFILL_MILLIS);
        long[] level = new long[1];
        front.run(() -> {
            atMillis[1] = nowMillis(front);
            level[0] = quotas(front).levelTokens(name(0), atMillis[1]);
        });
        double fullRefill = QUOTA_TOKENS * (atMillis[1] - atMillis[0]) / 1_000.0;
        assertThat((double) level[0], lessThan(fullRefill / 2));
    }

    private static long levelTokens(FrontFixture front) {
        long[] level = new long[1];
        front.run(() -> level[0] = quotas(front).levelTokens(FLOODING, nowMillis(front)));
        return level[0];
    }

    private static QuotaLedger quotas(FrontFixture front) {
        return front.front().quotas();
    }

    private static long nowMillis(FrontFixture front) {
        return front.front().nowMillis();
    }

    private static Catalog catalog(int count, long tokensPerSecond, long burstTokens) {
        List<Organisation> organisations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            organisations.add(ImmutableOrganisation.builder()
                    .name(name(i))
                    .quotaTokensPerSecond(tokensPerSecond)
                    .quotaBurstTokens(burstTokens)
                    .defaultRequestTokens(1)
                    .build());
        }
        return new Catalog(1, CallerLimits.DEFAULT, List.of(), List.of(), organisations);
    }

    private static String name(int organisation) {
        return "organisation-" + organisation;
    }
}
