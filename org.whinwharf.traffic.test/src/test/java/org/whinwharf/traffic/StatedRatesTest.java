package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.rate.ImmutableStatedRate;
import org.whinwharf.traffic.rate.RateAdmission;
import org.whinwharf.traffic.rate.RateStatement;
import org.whinwharf.traffic.rate.StatedRate;
import org.whinwharf.traffic.rate.StatedRates;

class StatedRatesTest {
    private static final String TARGET = "t0";
    private static final long TICK_MILLIS = 20;
    private static final long WINDOW_MILLIS = 4_000;

    private final StatedRates rates = new StatedRates();

    /** Guards against values that lift a limit, or set one, because they were misread. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "3.6 | LIMIT | 3.6",
                "0.2 | LIMIT | 0.2",
                ".5 | LIMIT | 0.5",
                "0 | LIMIT | 0",
                "2, 1.5 | LIMIT | 1.5",
                "x, 1.5 | LIMIT | 1.5",
                "1e3 | LIMIT | 1000",
                "-1 | UNREADABLE | 0",
                "NaN | UNREADABLE | 0",
                "many | UNREADABLE | 0",
                "'' | UNREADABLE | 0",
                "10000 | NONE | 0",
                "1e400 | NONE | 0"
            })
    void valuesAreRead(String value, RateStatement.Kind kind, double requestsPerSecond) {
        assertThat(RateStatement.parse(List.of(value)), is(new RateStatement(kind, requestsPerSecond)));
    }

    /** Guards against a header that comes twice, of which the higher value or none is taken. */
    @Test
    void lowestOfSeveralValuesApplies() {
        assertThat(RateStatement.parse(List.of("4", "2.5")).requestsPerSecond(), is(2.5));
        assertThat(RateStatement.parse(List.of()), is(RateStatement.NONE));
    }

    /** Guards against a target that gets more than it states, or is starved, where more is asked for. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 1, 3.6, 40})
    void coordinatorUsesTheStatedRate(double rate) {
        state(rate, 0);
        List<Long> dispatched = dispatchAll(List.of(rates.ofCoordinator()), 0, 60_000);
        assertThat((double) mostInWindow(dispatched), lessThanOrEqualTo(rate * 4 + 2 + rate * 0.1));
        assertThat(dispatched.size() / 60.0, closeTo(rate, rate * 0.05 + 0.02));
    }

    /** Guards against processes without a coordinator that each use the whole rate. */
    @ParameterizedTest
    @CsvSource({"7,1", "7,3.6", "70,1", "70,0.2"})
    void processesOnTheirOwnStayWithinTheRateTogether(int processes, double rate) {
        List<RateAdmission> admissions = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            StatedRates ofProcess = new StatedRates();
            ofProcess.merge(stated(rate, i, 0), 0);
            admissions.add(ofProcess.ofProcess(() -> processes));
        }
        List<Long> dispatched = dispatchAll(admissions, 10_000, 410_000);
        // All begin at the same moment, so what they use comes in bursts of one request each.
        assertThat(dispatched.size() / 400.0, lessThanOrEqualTo(rate * 1.05));
        assertThat(dispatched.size() / 400.0, greaterThan(rate * 0.8));
    }

    /** Guards against two coordinators, one after the other or at once, that do not know of each other's requests. */
    @Test
    void requestsOfOtherCoordinatorsAreCounted() {
        state(2, 0);
        rates.receiveTotal("other", 1, TARGET.hashCode(), 40, 100);
        rates.receiveTotal("other", 1, TARGET.hashCode(), 42, 1_000);
        List<Long> dispatched = dispatchAll(List.of(rates.ofCoordinator()), 1_000, 3_000);
        // Tokens for five requests come until then, two of which the other coordinator has used.
        assertThat(dispatched.size(), is(3));
        rates.receiveTotal("other", 2, TARGET.hashCode(), 1, 3_000);
        assertThat(rates.ofCoordinator().admits(TARGET, 3_500), is(true));
    }

    /** Guards against a target that states a lower rate and is starved by what was counted at the higher one. */
    @Test
    void requestsCountedAtAHigherRateDoNotStarveTheTarget() {
        state(8, 0);
        for (int i = 0; i < 40; i++) {
            rates.count(TARGET, 1_000);
        }
        state(0.2, 1_100);
        assertThat(dispatchAll(List.of(rates.ofCoordinator()), 1_100, 7_100).size(), is(1));
        rates.count(TARGET, 7_100);
        assertThat(dispatchAll(List.of(rates.ofCoordinator()), 7_100, 12_200).size(), is(1));
    }

    /** Guards against an answer that was begun before the target stated a rate and ends the limit. */
    @Test
    void answerThatBeganBeforeTheStatementDoesNotEndTheLimit() {
        state(2, 1_000);
        assertThat(rates.answered(none(1_200), 900), is(false));
        assertThat(rates.rateOf(TARGET), is(OptionalDouble.of(2)));
        assertThat(rates.answered(none(1_400), 1_100), is(true));
        assertThat(rates.rateOf(TARGET), is(OptionalDouble.empty()));
    }

    /** Guards against a peer that missed the end of a limit and brings it back, or keeps its time moving. */
    @Test
    void olderReportsOfPeersChangeNothing() {
        state(2, 1_000);
        StatedRate report = stated(2, 7, 1_000);
        rates.answered(none(3_000), 2_000);
        assertThat(rates.merge(report, 3_100), is(false));
        assertThat(rates.limitedTargets(), is(0));
        StatedRate newer = stated(3, 8, 4_000);
        assertThat(rates.merge(newer, 4_010), is(true));
        assertThat(rates.merge(ImmutableStatedRate.copyOf(newer).withStatedAtMillis(4_500), 4_500), is(false));
        assertThat(rates.find(TARGET).orElseThrow().statedAtMillis(), is(4_000L));
    }

    /** Guards against a target that is asked so seldom that the end of its limit is not found out. */
    @Test
    void targetThatTakesNothingIsStillAskedNowAndThen() {
        state(0, 0);
        List<Long> dispatched = dispatchAll(List.of(rates.ofCoordinator()), 0, 60_000);
        assertThat((double) dispatched.size(), closeTo(12, 1));
        assertThat(rates.ofCoordinator().overdue(TARGET, dispatched.get(dispatched.size() - 1) + 2_500), is(true));
    }

    /** Guards against a table that grows with targets that are long gone. */
    @Test
    void oldStatementsAreDropped() {
        state(2, 0);
        rates.expire(Set.of(TARGET), 100_000);
        assertThat(rates.limitedTargets(), is(1));
        rates.answered(none(100_000), 99_000);
        rates.expire(Set.of(TARGET), 110_000);
        assertThat(rates.all().size(), is(1));
        rates.expire(Set.of(TARGET), 130_000);
        assertThat(rates.all().size(), is(0));
        state(2, 130_000);
        rates.expire(Set.of(), 200_000);
        assertThat(rates.limitedTargets(), is(0));
    }

    private void state(double rate, long nowMillis) {
        rates.answered(stated(rate, 1, nowMillis), nowMillis);
    }

    private static StatedRate stated(double rate, long id, long atMillis) {
        return statement(new RateStatement(RateStatement.Kind.LIMIT, rate), id, atMillis);
    }

    private static StatedRate none(long atMillis) {
        return statement(RateStatement.NONE, atMillis, atMillis);
    }

    private static StatedRate statement(RateStatement statement, long id, long atMillis) {
        return ImmutableStatedRate.builder()
                .id(id)
                .targetId(TARGET)
                .service("service")
                .statement(statement)
                .statedAtMillis(atMillis)
                .build();
    }

    /** Dispatches a request whenever one of the admissions allows it, in random order. */
    private static List<Long> dispatchAll(List<RateAdmission> admissions, long fromMillis, long toMillis) {
        Random random = new Random(1);
        List<RateAdmission> order = new ArrayList<>(admissions);
        List<Long> dispatched = new ArrayList<>();
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += TICK_MILLIS) {
            Collections.shuffle(order, random);
            for (RateAdmission admission : order) {
                while (admission.admits(TARGET, nowMillis)) {
                    admission.dispatched(TARGET, nowMillis);
                    dispatched.add(nowMillis);
                }
            }
        }
        return dispatched;
    }

    private static int mostInWindow(List<Long> dispatched) {
        return (int) dispatched.stream()
                .mapToLong(first -> dispatched.stream()
                        .filter(millis -> millis >= first && millis < first + WINDOW_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }
}
