package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.retry.RetryBudget;

class RetryBudgetTest {
    /**
     * Every answer of a service is lost for four seconds. If each request were retried, the load on the failing service
     * would double. Retries of seven processes together must not exceed a fifth of the requests plus 54.
     */
    @Test
    void sevenProcessesTogetherKeepToTheFleetsBound() {
        int retries = 0;
        int requests = 0;
        for (int process = 0; process < 7; process++) {
            RetryBudget budget = new RetryBudget(0.2, 10_000);
            for (long now = 0; now < 10_000; now += 50) {
                budget.recordRequest(now);
                requests++;
                if (budget.tryRetry(now, 54 / 8.0)) {
                    retries++;
                }
            }
        }
        assertThat((double) retries, lessThanOrEqualTo(requests * 0.2 + 54));
    }

    /** Guards against retries that are forgotten when the settings change, and so are allowed once more. */
    @Test
    void changedLimitsForgetNoRetry() {
        RetryBudget budget = new RetryBudget(0.2, 10_000);
        int retries = 0;
        for (long now = 0; now < 10_000; now += 50) {
            budget.recordRequest(now);
            if (now % 1_000 == 0) {
                budget.updateLimits(now % 2_000 == 0 ? 0.19 : 0.2, 10_000);
            }
            retries += budget.tryRetry(now, 6) ? 1 : 0;
        }
        assertThat((double) retries, lessThanOrEqualTo(200 * 0.2 + 6));
    }

    /** Guards against a budget that is used up by retries for which no target was found. */
    @Test
    void cancelledRetryCanBeTakenAgain() {
        RetryBudget budget = new RetryBudget(0, 10_000);
        assertThat(budget.tryRetry(0, 1), is(true));
        assertThat(budget.tryRetry(1, 1), is(false));
        budget.cancelRetry(0);
        assertThat(budget.tryRetry(2, 1), is(true));
    }

    /** Guards against retries that may wait and that use up the budget of those that may not. */
    @Test
    void retriesWithAShareLeaveTheRestOfTheBudget() {
        RetryBudget budget = new RetryBudget(0, 10_000);
        assertThat(budget.tryRetry(0, 4, 0.5), is(true));
        assertThat(budget.tryRetry(0, 4, 0.5), is(true));
        assertThat(budget.tryRetry(0, 4, 0.5), is(false));
        assertThat(budget.tryRetry(0, 4), is(true));
        assertThat(budget.tryRetry(0, 4, 0.5), is(false));
        assertThat(budget.tryRetry(0, 4), is(true));
        assertThat(budget.tryRetry(0, 4), is(false));
    }

    /** Guards against a negative count after a retry that has left the window is returned. */
    @Test
    void cancellingWithoutRetryInTheWindowChangesNothing() {
        RetryBudget budget = new RetryBudget(0, 10_000);
        budget.tryRetry(0, 1);
        budget.recordRequest(20_000);
        budget.cancelRetry(0);
        assertThat(budget.tryRetry(20_000, 1), is(true));
        assertThat(budget.tryRetry(20_000, 1), is(false));
    }

    /** Guards against ends of streams that are not verified since failed requests have used half of the budget. */
    @Test
    void partialRetriesAreLimitedByThemselvesAndByTheWholeBudget() {
        RetryBudget budget = new RetryBudget(0, 10_000);
        for (int i = 0; i < 3; i++) {
            assertThat(budget.tryRetry(0, 5), is(true));
        }
        assertThat(budget.tryRetry(0, 5, 0.5), is(true));
        assertThat(budget.tryRetry(0, 5, 0.5), is(true));
        assertThat("more than the budget", budget.tryRetry(0, 5, 0.5), is(false));
        assertThat("more than the budget", budget.tryRetry(0, 5), is(false));
        assertThat("in the next window", budget.tryRetry(10_001, 5, 0.5), is(true));
    }

    /**
     * Guards against more ends of streams that are verified than their part, as other requests return their retries.
     */
    @Test
    void cancelledRetryReturnsNoneOfThoseWithAShare() {
        RetryBudget budget = new RetryBudget(0, 10_000);
        assertThat(budget.tryRetry(0, 4, 0.25), is(true));
        assertThat(budget.tryRetry(0, 4), is(true));
        budget.cancelRetry(0);
        assertThat(budget.tryRetry(0, 4, 0.25), is(false));
    }
}
