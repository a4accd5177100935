package org.whinwharf.platform.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Configurations that the operator wrote, with the times at which the store confirmed them. */
final class ConfigHistory {
    static final String HOST = "h";
    static final String CONFIG_KEY = "op/config";
    /** Outcome of a request whose route is not there. */
    static final String NO_ROUTE = "404";
    /** Outcome of a request whose key is not there. */
    static final String NO_KEY = "401";

    private static final int MAX_STEP = 5;

    /**
     * One configuration.
     *
     * @param serviceByRoute services by the names of the routes
     * @param keys keys of the only organisation
     * @param sentNanos time at which the operator sent it
     */
    record Version(Map<String, String> serviceByRoute, Set<String> keys, long sentNanos) {
        /** Returns the outcome of a request: the service that runs it, or the status that refuses it. */
        String outcome(String route, String key) {
            String service = serviceByRoute.get(route);
            if (service == null) {
                return NO_ROUTE;
            }
            return keys.contains(key) ? service : NO_KEY;
        }
    }

    private final StoreStandIn store;
    private final List<String> services;
    private final int fillers;
    private final List<Version> versions = new ArrayList<>();
    /** Times of the confirmations by {@link System#nanoTime()}, in the order of the versions. */
    private final List<Long> confirmedNanos = new ArrayList<>();

    private long number;

    /**
     * Creates a history that is empty.
     *
     * @param fillers number of routes that nobody uses in each configuration
     */
    ConfigHistory(StoreStandIn store, List<String> services, int fillers, long firstNumber) {
        this.store = store;
        this.services = services;
        this.fillers = fillers;
        number = firstNumber;
    }

    /** Writes a configuration to the store and waits for the confirmation. */
    void publish(Map<String, String> serviceByRoute, Set<String> keys) {
        Version version =
                new Version(new TreeMap<>(serviceByRoute), Set.copyOf(new TreeSet<>(keys)), System.nanoTime());
        number += 1 + version.serviceByRoute().size() % MAX_STEP;
        String json = json(version);
        synchronized (this) {
            versions.add(version);
        }
        long atNanos = store.put(CONFIG_KEY, json).atNanos();
        synchronized (this) {
            confirmedNanos.add(atNanos);
        }
    }

    /** Returns the versions so far; the last one may not be confirmed yet. */
    synchronized List<Version> versions() {
        return List.copyOf(versions);
    }

    /** Returns the number of the last configuration. */
    long number() {
        return number;
    }

    /** Returns the index of the oldest version by which a request may be handled. */
    synchronized int oldestAllowed(long requestSentNanos, long boundMillis) {
        int oldest = 0;
        for (int i = 0; i < confirmedNanos.size() && boundMillis < ContactRecord.UNBOUND; i++) {
            if (confirmedNanos.get(i) + TimeUnit.MILLISECONDS.toNanos(boundMillis) < requestSentNanos) {
                oldest = i;
            }
        }
        return oldest;
    }

    /** Returns the index of the newest version that may be known at a time. */
    synchronized int newestAllowed(long answeredNanos) {
        int newest = 0;
        for (int i = 0; i < versions.size(); i++) {
            if (versions.get(i).sentNanos() <= answeredNanos) {
                newest = i;
            }
        }
        return newest;
    }

    /** Returns the time since the confirmation of a version. */
    synchronized long millisSinceConfirmation(int index, long atNanos) {
        return TimeUnit.NANOSECONDS.toMillis(atNanos - confirmedNanos.get(index));
    }

    private String json(Version version) {
        List<String> routes = new ArrayList<>();
        version.serviceByRoute().forEach((name, service) -> routes.add(route(name, HOST, service)));
        for (int i = 0; i < fillers; i++) {
            routes.add(route("filler" + i, "unused" + i % 7, services.get(0)));
        }
        List<String> descriptions = services.stream()
                .map(name -> "{\"name\":\"" + name + "\",\"health-path\":\"" + RecordingTarget.HEALTH_PATH + "\"}")
                .toList();
        String keys = version.keys().isEmpty() ? "" : "\"" + String.join("\",\"", version.keys()) + "\"";
        return "{\"version\":" + number + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", descriptions) + "],\"limits\":{},\"tenants\":[{\"name\":\"t\",\"api-keys\":["
                + keys + "]}]}";
    }

    private static String route(String name, String host, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"/" + name
                + "/\",\"kind\":\"safe\",\"timeout-ms\":900,\"slo-ms\":300,\"service\":\"" + service
                + "\",\"attempts\":2}";
    }
}
