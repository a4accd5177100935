package org.whinwharf.platform.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.whinwharf.platform.fleet.FleetVerdict.Departure;
import org.whinwharf.platform.fleet.FleetVerdict.Evacuation;

/** Changes of routes, keys, workers and zones before a deployed fleet, under callers that ask every front. */
final class FleetScenario implements AutoCloseable {
    private static final List<String> ZONES = List.of("za", "zb", "zc", "zd");
    private static final int SERVICES = 3;
    private static final int BASE_ROUTES = 4;
    private static final int BASE_KEYS = 2;
    private static final String BASE_KEY = "key0";
    private static final int FIRST_TARGET_IP = 10;
    private static final int MAX_TARGETS = 200;
    private static final int FIRST_PORT = 9_000;
    /** Time after which the first configuration holds at every front. */
    private static final long SETTLE_MILLIS = 3_000;

    private final DeployedFleet fleet;
    private final Random random;
    private final int number;
    private final FleetOperations operations;
    private final ConfigHistory history;
    private final FleetCallers callers;
    private final List<String> services = new ArrayList<>();
    private final Map<String, String> serviceByRoute = new TreeMap<>();
    private final Set<String> keys = new TreeSet<>();
    private final List<RecordingTarget> targets = new ArrayList<>();
    private final List<RecordingTarget> ready = new ArrayList<>();
    private final List<Departure> departures = new ArrayList<>();
    private final List<Evacuation> evacuations = new ArrayList<>();
    private int names;
    private String evacuatedZone = "";
    private long evacuatedNanos;

    /**
     * Prepares a scenario before a fleet that runs.
     *
     * @param number number of the scenario before this fleet, from 0 on
     * @param fillers number of routes in each configuration that nobody uses
     */
    FleetScenario(DeployedFleet fleet, long seed, int number, int fillers) {
        this.fleet = fleet;
        this.number = number;
        random = new Random(seed);
        operations = new FleetOperations(fleet);
        for (int i = 0; i < SERVICES; i++) {
            services.add("service" + number + "-" + i);
        }
        history = new ConfigHistory(fleet.store(), services, fillers, 1_000_000L * (number + 1));
        callers = new FleetCallers(fleet, operations::life, Integer.toString(number));
    }

    /** Writes the first configuration and starts workers and callers. */
    void start() throws InterruptedException {
        for (int i = 0; i < BASE_KEYS; i++) {
            keys.add("key" + i);
        }
        for (int i = 0; i < BASE_ROUTES; i++) {
            String route = "base" + number + "-" + i;
            serviceByRoute.put(route, services.get(i % SERVICES));
            callers.ask(route, BASE_KEY);
        }
        for (int i = 0; i < SERVICES * ZONES.size(); i++) {
            addTarget(services.get(i % SERVICES), ZONES.get(i % ZONES.size()));
        }
        history.publish(serviceByRoute, keys);
        fleet.awaitReady();
        // No condition tells that the front knows the workers and that it was calm for long enough.
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        callers.start();
    }

    /** Returns what happens to fronts and to the store. */
    FleetOperations operations() {
        return operations;
    }

    /** Makes a random change. */
    void change() {
        switch (random.nextInt(10)) {
            case 0, 1 -> addRoute();
            case 2 -> removeRoute();
            case 3, 4 -> moveRoute();
            case 5 -> addKey();
            case 6 -> removeKey();
            case 7, 8 -> replaceTarget(random.nextBoolean());
            default -> toggleEvacuation();
        }
    }

    void addRoute() {
        String route = "added" + number + "-" + names++;
        serviceByRoute.put(route, services.get(random.nextInt(SERVICES)));
        publishAndAsk(route, BASE_KEY);
    }

    void removeRoute() {
        List<String> added = addedRoutes();
        if (!added.isEmpty()) {
            String route = added.get(random.nextInt(added.size()));
            serviceByRoute.remove(route);
            publishAndAsk(route, BASE_KEY);
        }
    }

    void moveRoute() {
        List<String> added = addedRoutes();
        if (!added.isEmpty()) {
            String route = added.get(random.nextInt(added.size()));
            int service = services.indexOf(serviceByRoute.get(route));
            serviceByRoute.put(route, services.get((service + 1) % SERVICES));
            publishAndAsk(route, BASE_KEY);
        }
    }

    private List<String> addedRoutes() {
        return serviceByRoute.keySet().stream()
                .filter(route -> route.startsWith("added"))
                .toList();
    }

    void addKey() {
        String key = "added" + names++;
        keys.add(key);
        publishAndAsk("base" + number + "-0", key);
    }

    void removeKey() {
        List<String> added =
                keys.stream().filter(key -> key.startsWith("added")).toList();
        if (!added.isEmpty()) {
            String key = added.get(random.nextInt(added.size()));
            keys.remove(key);
            publishAndAsk("base" + number + "-0", key);
        }
    }

    private void publishAndAsk(String route, String key) {
        callers.ask(route, key);
        history.publish(serviceByRoute, keys);
    }

    /** Starts a worker in the place of another one, which says that it leaves, or whose entry is removed. */
    void replaceTarget(boolean removed) {
        if (targets.size() >= MAX_TARGETS) {
            return;
        }
        RecordingTarget leaving = ready.remove(random.nextInt(ready.size()));
        addTarget(leaving.service(), leaving.zone());
        StoreStandIn.Confirmation confirmation = removed
                ? fleet.store().remove(leaving.key())
                : fleet.store().put(leaving.key(), leaving.entry("draining"));
        departures.add(new Departure(leaving, confirmation.atNanos()));
    }

    private void addTarget(String service, String zone) {
        int index = targets.size();
        RecordingTarget target = new RecordingTarget(
                "t" + number + "-" + index, service, zone, fleet.ip(FIRST_TARGET_IP + index), FIRST_PORT + number);
        target.start();
        targets.add(target);
        ready.add(target);
        fleet.store().put(target.key(), target.entry("ready"));
    }

    /** Evacuates a zone, or takes the evacuation back. */
    void toggleEvacuation() {
        if (evacuatedZone.isEmpty()) {
            evacuatedZone = ZONES.get(random.nextInt(ZONES.size()));
            evacuatedNanos =
                    fleet.store().put("op/evacuate/" + evacuatedZone, "{}").atNanos();
        } else {
            evacuations.add(new Evacuation(evacuatedZone, evacuatedNanos, System.nanoTime()));
            fleet.store().remove("op/evacuate/" + evacuatedZone);
            evacuatedZone = "";
        }
    }

    /** Leaves a zone evacuated, for the time before the end. */
    void evacuate() {
        if (evacuatedZone.isEmpty()) {
            toggleEvacuation();
        }
    }

    /** Ends the callers and judges what they and the workers saw. */
    FleetVerdict finish() {
        callers.stop();
        if (!evacuatedZone.isEmpty()) {
            toggleEvacuation();
        }
        FleetVerdict verdict = new FleetVerdict(history, operations.contact());
        verdict.judgeAnswers(callers.exchanges());
        verdict.judgeDepartures(departures);
        verdict.judgeEvacuations(evacuations, targets);
        return verdict;
    }

    @Override
    public void close() {
        callers.stop();
        fleet.store().endFaults();
        targets.forEach(target -> {
            fleet.store().remove(target.key());
            target.stop();
        });
    }
}
