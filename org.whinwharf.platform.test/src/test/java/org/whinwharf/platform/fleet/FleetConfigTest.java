package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests that deployed fronts apply changes of routes, keys, workers and zones in time and never go back. */
class FleetConfigTest {
    private static final int MIN_SERVED = 100;
    private static final long STEP_MILLIS = 300;
    private static final long APPLY_MILLIS = 2_000;
    private static final List<Integer> ALL =
            IntStream.range(0, DeployedFleet.FRONTS).boxed().toList();
    private static final List<Integer> SOME = List.of(1, 4, 6);

    private static DeployedFleet fleet;
    private static int scenarios;

    /** Impairs the fleet while changes are made. */
    @FunctionalInterface
    private interface Impairment {
        void play(FleetScenario scenario) throws InterruptedException;
    }

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = new DeployedFleet();
        fleet.start();
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    /** Guards against changes that fronts apply late or take back while nothing is impaired. */
    @Test
    void changesHoldInTimeInCalm() throws Exception {
        play(FleetConfigTest::changeAll);
    }

    /** Guards against fronts that apply changes late while the store refuses only them. */
    @Test
    void changesHoldInTimeWhileStoreRefusesSomeFronts() throws Exception {
        play(scenario -> {
            FleetOperations.Impairment busy = scenario.operations().begin(StoreFault.BUSY, SOME);
            changeAll(scenario);
            busy.end();
        });
    }

    /** Guards against changes that are lost because the store discards its history while fronts hear nothing. */
    @Test
    void changesHoldAfterHistoryIsDiscardedUnheard() throws Exception {
        play(scenario -> {
            FleetOperations.Impairment unheard = scenario.operations().begin(StoreFault.UNANSWERED, ALL);
            changeAll(scenario);
            scenario.operations().discardHistory();
            unheard.end();
        });
    }

    /** Guards against changes that are lost while all fronts are killed at once. */
    @Test
    void changesHoldAfterAllFrontsAreKilled() throws Exception {
        play(scenario -> {
            changeAll(scenario);
            scenario.operations().killAndStart(ALL, STEP_MILLIS);
            changeAll(scenario);
        });
    }

    private static void play(Impairment impairment) throws Exception {
        try (FleetScenario scenario = new FleetScenario(fleet, scenarios, scenarios++, 0)) {
            scenario.start();
            impairment.play(scenario);
            fleet.awaitReady();
            TimeUnit.MILLISECONDS.sleep(ContactRecord.CONTACT_MILLIS + APPLY_MILLIS);
            FleetVerdict verdict = scenario.finish();
            assertThat(verdict.figures(), verdict.breaches(), is(empty()));
            assertThat(verdict.served(), greaterThan(MIN_SERVED));
        }
    }

    /** Makes each kind of change, with the time between them that a front may need for some of them together. */
    private static void changeAll(FleetScenario scenario) throws InterruptedException {
        List<Runnable> changes = List.of(
                scenario::addRoute,
                scenario::moveRoute,
                scenario::addKey,
                scenario::addRoute,
                scenario::toggleEvacuation,
                scenario::removeKey,
                () -> scenario.replaceTarget(false),
                scenario::moveRoute,
                () -> scenario.replaceTarget(true),
                scenario::removeRoute);
        for (Runnable change : changes) {
            change.run();
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        }
    }
}
