package org.whinwharf.platform.fleet;

import java.util.Arrays;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Kinds of attempts, each with a route of its own. */
enum AttemptKind {
    SAFE("GET", "/safe/", true, false, "\"kind\":\"safe\",\"attempts\":3"),
    UNSAFE("POST", "/unsafe/", false, false, "\"kind\":\"unsafe\",\"attempts\":2"),
    RESUMABLE("POST", "/resumable/", true, true, "\"kind\":\"streaming\",\"resumable\":true,\"attempts\":3"),
    STREAM("POST", "/stream/", false, true, "\"kind\":\"streaming\",\"attempts\":2");

    /** Usual time limit of each attempt. */
    static final int TIMEOUT_MILLIS = 3_000;

    private static final Pattern STEP = Pattern.compile("/(\\d+)ms/");
    private static final Pattern LINES = Pattern.compile("/(\\d+)lines/");

    private final String method;
    private final String prefix;
    private final boolean repeatable;
    private final boolean streaming;
    private final String route;

    AttemptKind(String method, String prefix, boolean repeatable, boolean streaming, String route) {
        this.method = method;
        this.prefix = prefix;
        this.repeatable = repeatable;
        this.streaming = streaming;
        this.route = route;
    }

    String method() {
        return method;
    }

    String prefix() {
        return prefix;
    }

    /** Tells whether an attempt may run more than once. */
    boolean repeatable() {
        return repeatable;
    }

    /** Tells whether the answer is a stream of events, whose number ends the path. */
    boolean streaming() {
        return streaming;
    }

    /** Returns the kind of a path. */
    static AttemptKind of(String path) {
        return Arrays.stream(values())
                .filter(kind -> path.startsWith(kind.prefix))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(path));
    }

    /** Returns the number of events of a stream. */
    static int events(String path) {
        return Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
    }

    /** Returns the path of a request that names the time between two events, or of the whole run of another one. */
    String path(String name, int stepMillis, int events) {
        return prefix + name + "/" + stepMillis + "ms/" + events;
    }

    /** Returns the path of a request that is no stream, and names the time of its run and the lines of its answer. */
    String pathOfLarge(String name, int runMillis, int lines) {
        return prefix + name + "/" + runMillis + "ms/" + lines + "lines/1";
    }

    /** Returns the lines that the path names for the answer to a request that is no stream; empty if none. */
    static OptionalInt lines(String path) {
        return number(LINES, path);
    }

    /** Returns the time that the path names for each step of the run; empty if the worker draws it. */
    static OptionalInt stepMillis(String path) {
        return number(STEP, path);
    }

    private static OptionalInt number(Pattern pattern, String path) {
        Matcher matcher = pattern.matcher(path);
        return matcher.find() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
    }

    /** Returns a configuration with a route for each kind, to a service of plain workers. */
    static String config(int version, String host, String service) {
        return config(version, host, service, false);
    }

    /** Returns a configuration with a route for each kind. */
    static String config(int version, String host, String service, boolean engine) {
        return config(version, host, service, engine, TIMEOUT_MILLIS);
    }

    /** Returns a configuration with a route for each kind, with a time limit of their own. */
    static String config(int version, String host, String service, boolean engine, int timeoutMillis) {
        String routes = Arrays.stream(values())
                .map(kind -> "{\"name\":\"" + kind + "\",\"host\":\"" + host + "\",\"prefix\":\"" + kind.prefix + "\","
                        + kind.route + ",\"timeout-ms\":" + timeoutMillis + ",\"slo-ms\":300,\"gap-target-ms\":500,"
                        + "\"service\":\"" + service + "\",\"public\":true}")
                .reduce((all, next) -> all + "," + next)
                .orElseThrow();
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + service
                + "\",\"health-path\":\"" + WorkerStandIn.HEALTH_PATH
                + "\"," + (engine ? "\"engine\":{}," : "") + "\"max-conns\":60}],\"limits\":{},\"tenants\":[]}";
    }
}
