package org.whinwharf.platform.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.whinwharf.platform.fleet.ConfigHistory.Version;
import org.whinwharf.platform.fleet.FleetCallers.Exchange;

/** Judges by the rules what callers and workers saw while configurations, workers and zones changed. */
final class FleetVerdict {
    private static final long APPLY_MILLIS = 2_000;
    private static final long BACK_MILLIS = 250;
    /** Factor of the bound of a front that was impaired. */
    private static final int SLOWED_FACTOR = 8;

    private static final long DRAIN_MILLIS = 2_000;
    private static final long EVACUATE_MILLIS = 5_000;
    private static final int OK = 200;
    /** Number of requests on added routes from which their share of successes counts. */
    private static final int MIN_ADDED = 20;

    /**
     * A worker that has said that it leaves, or whose entry was removed.
     *
     * @param confirmedNanos time of the store's confirmation
     */
    record Departure(RecordingTarget target, long confirmedNanos) {}

    /**
     * An evacuation of a zone.
     *
     * @param confirmedNanos time of the store's confirmation
     * @param endSentNanos time at which the operator took it back
     */
    record Evacuation(String zone, long confirmedNanos, long endSentNanos) {}

    private final ConfigHistory history;
    private final ContactRecord contact;
    private final List<String> breaches = new ArrayList<>();
    private int judged;
    private int unjudged;
    private int served;

    FleetVerdict(ConfigHistory history, ContactRecord contact) {
        this.history = history;
        this.contact = contact;
    }

    /** Returns a description of each breach, with the time of day for the comparison with logs. */
    List<String> breaches() {
        return breaches;
    }

    /** Returns the figures of all that was judged. */
    String figures() {
        return "judged " + judged + ", not judged " + unjudged + ", served " + served + ", versions "
                + history.versions().size() + ", breaches " + breaches.size();
    }

    /** Returns the number of successes. */
    int served() {
        return served;
    }

    /** Judges the answers of the fronts. */
    void judgeAnswers(List<Exchange> exchanges) {
        List<Version> versions = history.versions();
        for (Exchange exchange : exchanges) {
            String outcome = outcome(exchange);
            if (outcome.isEmpty()) {
                unjudged++;
                continue;
            }
            judged++;
            Predicate<Version> allows = version -> version.outcome(
                            exchange.subject().route(), exchange.subject().key())
                    .equals(outcome);
            int newest = history.newestAllowed(exchange.answeredNanos());
            long boundMillis =
                    contact.boundMillis(exchange.front(), exchange.sentNanos(), exchange.answeredNanos(), APPLY_MILLIS);
            int oldest = history.oldestAllowed(exchange.sentNanos(), boundMillis);
            if (versions.subList(oldest, newest + 1).stream().noneMatch(allows)) {
                int last = lastIndex(versions, newest, allows);
                breaches.add("CONFIG " + describe(exchange) + " is "
                        + (last < 0
                                ? "allowed by no version"
                                : "as version " + last + " of " + newest + ", superseded "
                                        + history.millisSinceConfirmation(last + 1, exchange.sentNanos())
                                        + " ms before, bound " + boundMillis));
            }
        }
        judgeRegressions(exchanges, versions);
        judgeAddedRoutes(exchanges, versions);
    }

    private static int lastIndex(List<Version> versions, int newest, Predicate<Version> allows) {
        int index = newest;
        while (index >= 0 && !allows.test(versions.get(index))) {
            index--;
        }
        return index;
    }

    /** Returns what the answer shows of the configuration; empty if it shows nothing. */
    private String outcome(Exchange exchange) {
        if (exchange.status() == OK) {
            served++;
            String[] words = exchange.body().split(" ");
            if (words.length != 2 || !words[0].equals(exchange.attempt())) {
                breaches.add("MIXED " + describe(exchange) + " has body " + exchange.body());
                return "";
            }
            return words[1];
        }
        String status = Integer.toString(exchange.status());
        return status.equals(ConfigHistory.NO_ROUTE) || status.equals(ConfigHistory.NO_KEY) ? status : "";
    }

    private void judgeRegressions(List<Exchange> exchanges, List<Version> versions) {
        for (Exchange later : exchanges) {
            String outcome = outcomeOrEmpty(later);
            boolean ran = contact.ran(later.front(), later.sentNanos(), later.answeredNanos());
            long backNanos = TimeUnit.MILLISECONDS.toNanos(ran ? BACK_MILLIS : BACK_MILLIS * SLOWED_FACTOR);
            if (outcome.isEmpty() || later.life() < 0) {
                continue;
            }
            int newest = history.newestAllowed(later.answeredNanos());
            int shown = exchanges.stream()
                    .filter(earlier -> earlier.front() == later.front()
                            && earlier.life() == later.life()
                            && earlier.answeredNanos() + backNanos < later.sentNanos())
                    .mapToInt(earlier -> oldestShown(earlier, versions))
                    .max()
                    .orElse(0);
            boolean allowed = versions.subList(Math.min(shown, newest), newest + 1).stream()
                    .anyMatch(version -> version.outcome(
                                    later.subject().route(), later.subject().key())
                            .equals(outcome));
            if (!allowed) {
                breaches.add("CONFIG back: " + describe(later) + " after version " + shown + " was shown");
            }
        }
    }

    private int oldestShown(Exchange exchange, List<Version> versions) {
        String outcome = outcomeOrEmpty(exchange);
        for (int i = 0; i < versions.size() && !outcome.isEmpty(); i++) {
            if (versions.get(i)
                    .outcome(exchange.subject().route(), exchange.subject().key())
                    .equals(outcome)) {
                return i;
            }
        }
        return 0;
    }

    private static String outcomeOrEmpty(Exchange exchange) {
        String[] words = exchange.body().split(" ");
        return switch (exchange.status()) {
            case OK -> words.length == 2 ? words[1] : "";
            case 404 -> ConfigHistory.NO_ROUTE;
            case 401 -> ConfigHistory.NO_KEY;
            default -> "";
        };
    }

    private void judgeAddedRoutes(List<Exchange> exchanges, List<Version> versions) {
        int[] asked = new int[2];
        int[] successes = new int[2];
        for (Exchange exchange : exchanges) {
            long boundMillis =
                    contact.boundMillis(exchange.front(), exchange.sentNanos(), exchange.answeredNanos(), APPLY_MILLIS);
            int oldest = history.oldestAllowed(exchange.sentNanos(), boundMillis);
            int newest = history.newestAllowed(exchange.answeredNanos());
            String route = exchange.subject().route();
            boolean owed = boundMillis == APPLY_MILLIS
                    && versions.subList(oldest, newest + 1).stream()
                            .allMatch(version -> !Character.isDigit(
                                    version.outcome(route, exchange.subject().key())
                                            .charAt(0)));
            if (owed) {
                int added = versions.get(0).serviceByRoute().containsKey(route) ? 0 : 1;
                asked[added]++;
                successes[added] += exchange.status() == OK ? 1 : 0;
            }
        }
        if (asked[1] >= MIN_ADDED && 4L * successes[1] * asked[0] < (long) successes[0] * asked[1]) {
            breaches.add("CONFIG added routes: " + successes[1] + " of " + asked[1] + " served, first routes "
                    + successes[0] + " of " + asked[0]);
        }
    }

    /**
     * Judges the requests that reached workers that had left; a departure while the store is impaired must hold as well
     * once the store and the fronts have been sound for long enough.
     */
    void judgeDepartures(List<Departure> departures) {
        for (Departure departure : departures) {
            for (RecordingTarget.Arrival arrival : departure.target().arrivals()) {
                long lateMillis = TimeUnit.NANOSECONDS.toMillis(arrival.atNanos() - departure.confirmedNanos());
                boolean bound = allRan(arrival) && contact.stable(arrival.atNanos(), arrival.atNanos());
                if (lateMillis > DRAIN_MILLIS && bound) {
                    breaches.add("DRAIN " + arrival.attempt() + " reached "
                            + departure.target().id() + " " + lateMillis + " ms after it left, at "
                            + timeOfDay(arrival.atNanos()));
                }
            }
        }
    }

    /** Judges the requests that reached workers in zones that were evacuated. */
    void judgeEvacuations(List<Evacuation> evacuations, List<RecordingTarget> targets) {
        for (Evacuation evacuation : evacuations) {
            for (RecordingTarget target : targets) {
                if (target.zone().equals(evacuation.zone())) {
                    target.arrivals().forEach(arrival -> judgeEvacuation(evacuation, target, arrival));
                }
            }
        }
    }

    private void judgeEvacuation(Evacuation evacuation, RecordingTarget target, RecordingTarget.Arrival arrival) {
        long lateMillis = TimeUnit.NANOSECONDS.toMillis(arrival.atNanos() - evacuation.confirmedNanos());
        long boundMillis = contact.boundMillis(
                FleetCallers.frontOf(arrival.attempt()), arrival.atNanos(), arrival.atNanos(), EVACUATE_MILLIS);
        if (lateMillis > boundMillis && arrival.atNanos() < evacuation.endSentNanos() && allRan(arrival)) {
            breaches.add("EVAC " + arrival.attempt() + " reached " + target.id() + " " + lateMillis
                    + " ms after the evacuation, at " + timeOfDay(arrival.atNanos()));
        }
    }

    /** Tells whether no front was impaired that may have taken the request from its caller or passed it on. */
    private boolean allRan(RecordingTarget.Arrival arrival) {
        for (int front = 0; front < DeployedFleet.FRONTS; front++) {
            if (!contact.ran(front, arrival.atNanos(), arrival.atNanos())) {
                return false;
            }
        }
        return true;
    }

    private static String describe(Exchange exchange) {
        return "front " + exchange.front() + " " + exchange.attempt() + " " + exchange.subject() + " -> "
                + exchange.status() + " sent at " + timeOfDay(exchange.sentNanos());
    }

    private static String timeOfDay(long nanos) {
        return Instant.now().minusNanos(System.nanoTime() - nanos).toString();
    }
}
