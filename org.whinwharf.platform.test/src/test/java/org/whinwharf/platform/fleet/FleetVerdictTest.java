package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.platform.fleet.FleetCallers.Exchange;
import org.whinwharf.platform.fleet.FleetCallers.Subject;
import org.whinwharf.platform.fleet.FleetVerdict.Departure;
import org.whinwharf.platform.fleet.FleetVerdict.Evacuation;

/** Tests that the verdict on a fleet finds breaches, and only these. */
class FleetVerdictTest {
    private static final Set<String> KEYS = Set.of("k");
    private static final int OK = 200;

    private final StoreStandIn store = new StoreStandIn("127.0.0.1", 0);
    private final ConfigHistory history = new ConfigHistory(store, List.of("s", "other"), 0, 1);
    private final ContactRecord contact = new ContactRecord();
    private long movedNanos;

    @BeforeEach
    void moveRoute() {
        store.start();
        history.publish(Map.of("r", "s"), KEYS);
        history.publish(Map.of("r", "other"), KEYS);
        movedNanos = System.nanoTime();
    }

    @AfterEach
    void stopStore() {
        store.close();
    }

    /** Guards against a verdict that passes over an answer by a superseded configuration. */
    @Test
    void answerOfSupersededVersionIsBreachAfterBound() {
        assertThat(breaches(exchange(0, 1_900, "s")), is(empty()));
        assertThat(breaches(exchange(0, 2_100, "s")), contains(startsWith("CONFIG front 0")));
        assertThat(breaches(exchange(0, 2_100, "other")), is(empty()));
    }

    /** Guards against a verdict that passes over an answer that no configuration allows. */
    @Test
    void answerOfNoVersionIsBreach() {
        assertThat(breaches(exchange(0, 100, "third")).get(0), startsWith("CONFIG front 0"));
    }

    /** Guards against a verdict that passes over a front that goes back, or mistakes its successor for it. */
    @Test
    void olderAnswerInOneLifeIsBreachAfterBound() {
        assertThat(
                breaches(exchange(0, 100, "other"), exchange(0, 400, "s")),
                contains(startsWith("CONFIG back: front 0")));
        assertThat(breaches(exchange(0, 100, "other"), exchange(0, 300, "s")), is(empty()));
        assertThat(breaches(exchange(0, 100, "other"), exchange(1, 400, "s")), is(empty()));
    }

    /** Guards against bounds for a front or a store that was impaired in the time before. */
    @Test
    void boundsHoldOnlyInTouch() {
        contact.frontImpaired(0).end();
        assertThat(breaches(exchange(0, 2_900, "s")), is(empty()));
        assertThat(breaches(exchange(0, 3_100, "s")), contains(startsWith("CONFIG front 0")));
        contact.storeImpaired(ContactRecord.Part.STORE_UNSTABLE);
        assertThat(breaches(exchange(0, 6_900, "s")), is(empty()));
        assertThat(breaches(exchange(0, 7_100, "s")), contains(startsWith("CONFIG front 0")));
        contact.storeImpaired(ContactRecord.Part.STORE_LOST);
        assertThat(breaches(exchange(0, 7_100, "s")), is(empty()));
    }

    /** Guards against a verdict that passes over a request at a worker that has left (DRAIN). */
    @Test
    void requestAtWorkerThatLeftIsBreachAfterBound() {
        assertThat(breachesOfDeparture(-1, 2_000), is(empty()));
        assertThat(breachesOfDeparture(2_001), contains(startsWith("DRAIN 0-a reached t 2001 ms")));
        assertThat(breachesOfDeparture(60_000), contains(startsWith("DRAIN 0-a reached t 60000 ms")));
    }

    /** Guards against departures that are never judged because the store was impaired when they were confirmed. */
    @Test
    void departureWhileStoreIsImpairedIsJudgedWhenItIsStable() {
        contact.storeImpaired(ContactRecord.Part.STORE_UNSTABLE).end();
        assertThat(breachesOfDeparture(2_900), is(empty()));
        assertThat(breachesOfDeparture(3_100), contains(startsWith("DRAIN 0-a reached t 3100 ms")));
        contact.storeImpaired(ContactRecord.Part.STORE_LOST).end();
        assertThat(breachesOfDeparture(2_900), is(empty()));
        assertThat(breachesOfDeparture(3_100), contains(startsWith("DRAIN 0-a reached t 3100 ms")));
    }

    /** Guards against bounds on departures for a store or a front that was impaired in the time before. */
    @Test
    void departureIsBoundOnlyInTouch() {
        ContactRecord.Span front = contact.frontImpaired(6);
        assertThat(breachesOfDeparture(4_000), is(empty()));
        front.end();
        assertThat(breachesOfDeparture(2_900), is(empty()));
        assertThat(breachesOfDeparture(3_100), contains(startsWith("DRAIN")));
        contact.storeImpaired(ContactRecord.Part.STORE_UNSTABLE);
        assertThat(breachesOfDeparture(4_000), is(empty()));
    }

    /** Guards against a verdict that passes over a request in an evacuated zone (EVAC). */
    @Test
    void requestInEvacuatedZoneIsBreachAfterBound() {
        assertThat(breachesOfEvacuation("za", 9_000, -1, 5_000), is(empty()));
        assertThat(breachesOfEvacuation("za", 9_000, 5_001), contains(startsWith("EVAC 0-a reached t 5001 ms")));
        assertThat(breachesOfEvacuation("za", 9_000, 9_000), is(empty()));
        assertThat(breachesOfEvacuation("zb", 9_000, 5_001), is(empty()));
    }

    /** Guards against bounds on evacuations for a store or a front that was impaired in the time before. */
    @Test
    void evacuationIsBoundOnlyInTouch() {
        ContactRecord.Span front = contact.frontImpaired(6);
        assertThat(breachesOfEvacuation("za", 90_000, 6_000), is(empty()));
        front.end();
        assertThat(breachesOfEvacuation("za", 90_000, 6_000), contains(startsWith("EVAC")));
        contact.storeImpaired(ContactRecord.Part.STORE_UNSTABLE);
        assertThat(breachesOfEvacuation("za", 90_000, 10_000), is(empty()));
        assertThat(breachesOfEvacuation("za", 90_000, 10_001), contains(startsWith("EVAC 0-a reached t 10001 ms")));
        contact.storeImpaired(ContactRecord.Part.STORE_LOST);
        assertThat(breachesOfEvacuation("za", 90_000, 10_001), is(empty()));
    }

    private List<String> breachesOfDeparture(long... arrivedMillis) {
        long confirmedNanos = System.nanoTime();
        FleetVerdict verdict = new FleetVerdict(history, contact);
        verdict.judgeDepartures(List.of(new Departure(target(confirmedNanos, arrivedMillis), confirmedNanos)));
        return verdict.breaches();
    }

    private List<String> breachesOfEvacuation(String zone, long endMillis, long... arrivedMillis) {
        long confirmedNanos = System.nanoTime();
        long endNanos = confirmedNanos + TimeUnit.MILLISECONDS.toNanos(endMillis);
        FleetVerdict verdict = new FleetVerdict(history, contact);
        verdict.judgeEvacuations(
                List.of(new Evacuation(zone, confirmedNanos, endNanos)),
                List.of(target(confirmedNanos, arrivedMillis)));
        return verdict.breaches();
    }

    private static RecordingTarget target(long sinceNanos, long... arrivedMillis) {
        RecordingTarget target = new RecordingTarget("t", "s", "za", "127.0.0.1", 0);
        for (long millis : arrivedMillis) {
            target.arrived(new RecordingTarget.Arrival("0-a", sinceNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
        }
        return target;
    }

    private List<String> breaches(Exchange... exchanges) {
        FleetVerdict verdict = new FleetVerdict(history, contact);
        verdict.judgeAnswers(List.of(exchanges));
        return verdict.breaches();
    }

    private Exchange exchange(int life, long sentMillis, String service) {
        long sentNanos = movedNanos + TimeUnit.MILLISECONDS.toNanos(sentMillis);
        return new Exchange(0, life, "0-a", new Subject("r", "k"), sentNanos, sentNanos, OK, "0-a " + service);
    }
}
