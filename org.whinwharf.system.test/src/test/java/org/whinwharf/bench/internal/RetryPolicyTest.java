package org.whinwharf.bench.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.bench.history.HistoryEntry.Outcome;
import org.whinwharf.bench.history.ImmutableHistoryEntry;
import org.whinwharf.bench.internal.RetryPolicy.Decision;
import org.whinwharf.bench.internal.RetryPolicy.Step;

class RetryPolicyTest {
    private static final long LEFT_MILLIS = 10_000;

    private final RetryPolicy policy = new RetryPolicy(0.1);

    @Test
    void comesBackWhenToldUnderANewNumber() {
        assertThat(policy.decide(error("not-run", 700), LEFT_MILLIS), is(new Decision(Step.FRESH, 700)));
    }

    /*
     * The home of a booking does not answer. Asked anew elsewhere, the booking could be made twice.
     */
    @Test
    void repeatsTheSameNumberWhenWhatMayNotRunTwiceHasAnUnknownOutcome() {
        HistoryEntry booking =
                ImmutableHistoryEntry.copyOf(error("unknown", 700)).withIdempotent(false);
        assertThat(policy.decide(booking, LEFT_MILLIS).step(), is(Step.REPEAT));
        assertThat(policy.decide(error("unknown", 700), LEFT_MILLIS).step(), is(Step.FRESH));
    }

    /*
     * A data centre is taken out and its hosts send their callers away. A caller that waits instead sees no service.
     */
    @Test
    void goesToAnotherHostAtOnceAndWithoutBudget() {
        RetryPolicy none = new RetryPolicy(0);
        for (int i = 0; i < 50; i++) {
            HistoryEntry leaving =
                    ImmutableHistoryEntry.copyOf(error("not-run", 1000)).withError("host-leaving");
            assertThat(none.decide(leaving, LEFT_MILLIS), is(new Decision(Step.FRESH, 0)));
        }
    }

    @Test
    void givesUpWhenTheDeadlineWouldPass() {
        assertThat(policy.decide(error("not-run", LEFT_MILLIS), LEFT_MILLIS), is(Decision.GIVE_UP));
    }

    /*
     * After an outage everyone repeats at once. Without a bound the repeats alone keep the system overloaded.
     */
    @Test
    void retriesStayWithinTheirShareOfFreshRequests() {
        int retried = 0;
        for (int i = 0; i < 1000; i++) {
            policy.fresh();
            retried += policy.decide(error("not-run", 1), LEFT_MILLIS).step() == Step.FRESH ? 1 : 0;
        }
        assertThat(retried <= 110, is(true));
    }

    private static HistoryEntry error(String ran, long comeBackMillis) {
        return ImmutableHistoryEntry.builder()
                .intent("i")
                .attempt(0)
                .service("s")
                .organisation("o")
                .tierRank(0)
                .sentMillis(0)
                .endMillis(1)
                .number(0)
                .outcome(Outcome.ERROR)
                .error("shed")
                .ran(ran)
                .comeBackMillis(comeBackMillis)
                .build();
    }
}
