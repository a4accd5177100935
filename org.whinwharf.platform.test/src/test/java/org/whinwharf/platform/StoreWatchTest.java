package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.front.Front;
import org.whinwharf.platform.fleet.StoreFault;
import org.whinwharf.platform.fleet.StoreStandIn;

/** Tests that a front takes over what the store publishes, whatever else is published beside it. */
class StoreWatchTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    /** Time limit for applying a change, from its confirmation. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;

    /** Time after a fault of the store from which on the front counts as in touch. */
    private static final long CONTACT_LIMIT_MILLIS = 3_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    /** Time for which the store discards its history after each change. */
    private static final long DISCARDING_MILLIS = 2_000;
    /** Pause of the first watcher between two watches. */
    private static final long PAUSE_MILLIS = 200;
    /** Calls of a copy: the refused watch and a page of each of the two prefixes. */
    private static final long CALLS_OF_COPY = 3;

    private static final long POLL_MILLIS = 20;
    /** Values that a field may have by mistake. */
    private static final List<String> ODD_VALUES = List.of(
            "null",
            "true",
            "-1",
            "0",
            "0.5",
            "1e999",
            "99999999999999999999999",
            "\"\"",
            "\"x\"",
            "\"\\u0000\\ud800\"",
            "[]",
            "[1,null,{}]",
            "{}",
            "{\"a\":[[[]]]}");

    private static final List<String> ODD_KEYS =
            List.of("servers/", "op/", "op/evacuate/", "op/evacuate/z", "op/configuration", "x", "servers/a/b");
    private static final List<String> WORKER = List.of(
            "\"service\":\"s\"",
            "\"address\":\"127.0.0.1:9\"",
            "\"zone\":\"z\"",
            "\"version\":\"v\"",
            "\"slots\":4",
            "\"state\":\"ready\"",
            "\"cold-left-ms\":0",
            "\"seq\":1",
            "\"born\":1");
    private static final List<String> ROUTE = List.of(
            "\"name\":\"a\"",
            "\"host\":\"h\"",
            "\"prefix\":\"/a/\"",
            "\"kind\":\"safe\"",
            "\"timeout-ms\":900",
            "\"slo-ms\":100",
            "\"service\":\"s\"",
            "\"attempts\":2",
            "\"priority\":0",
            "\"public\":true",
            "\"resumable\":false",
            "\"gap-target-ms\":1",
            "\"traffic-split\":[{\"service\":\"s\",\"weight\":1}]");
    private static final List<String> SERVICE = List.of(
            "\"name\":\"s\"",
            "\"health-path\":\"/healthz\"",
            "\"max-conns\":9",
            "\"cold-start-s\":1",
            "\"cold-per-s\":1",
            "\"engine\":{\"slots\":4}");
    private static final List<String> TENANT = List.of(
            "\"name\":\"t\"",
            "\"api-keys\":[\"k\"]",
            "\"rate-per-s\":10",
            "\"burst\":10",
            "\"plain-tokens\":200",
            "\"priority\":1");

    private final String ip = "127."
            + ThreadLocalRandom.current().nextInt(1, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".1";
    private final StoreStandIn store = new StoreStandIn(ip, 0);
    private Front front;
    private int version;

    @BeforeEach
    void startFront() throws Exception {
        store.start();
        publishVersion("", "", "");
        front = LocalFront.create("front", ip, List.of(), true);
        front.start();
        new StoreWatch(front, store.address(), 0).start();
        assertThat("first version in force", inForce(READ_TIMEOUT_MILLIS), is(true));
    }

    @AfterEach
    void stopFront() {
        front.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        store.stop();
    }

    /** Guards against an entry of another writer that ends the watch, so that no later change comes into force. */
    @Test
    void oddEntriesOfWorkersDoNotKeepLaterChangesBack() throws Exception {
        List<String> entries = variants(WORKER);
        for (int i = 0; i < entries.size(); i++) {
            store.put("servers/odd" + i, entries.get(i));
        }
        publishVersion("", "", "");
        assertThat("in force", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against a part of a configuration that keeps the rest of it, or all later ones, out of force. */
    @Test
    void oddPartsOfAConfigurationDoNotKeepTheRestBack() throws Exception {
        publishVersion("," + String.join(",", variants(ROUTE)), "", "");
        assertThat("with odd routes", inForce(APPLY_LIMIT_MILLIS), is(true));
        publishVersion("", "," + String.join(",", variants(SERVICE)), "");
        assertThat("with odd services", inForce(APPLY_LIMIT_MILLIS), is(true));
        publishVersion("", "", String.join(",", variants(TENANT)));
        assertThat("with odd tenants", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against a document that is no configuration and keeps all later ones out of force. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "{\"version\":\"x\",\"routes\":[]}",
                "{\"version\":1e999,\"routes\":[]}",
                "{\"version\":99999999999999999999999,\"routes\":[]}"
            })
    void oddDocumentDoesNotKeepLaterOnesBack(String document) throws Exception {
        store.put("op/config", document);
        publishVersion("", "", "");
        assertThat("in force", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against keys and bytes of other writers that end the watch. */
    @Test
    void oddItemsDoNotKeepLaterChangesBack() throws Exception {
        for (String key : ODD_KEYS) {
            for (String value : List.of("", "{", "\u0000\u00ff", "[]", "null", "{\"a\":1}{")) {
                store.put(key, value);
            }
            publishVersion("", "", "");
            assertThat("in force after " + key, inForce(APPLY_LIMIT_MILLIS), is(true));
            store.remove(key);
        }
    }

    /** Guards against one failure in the handling of an answer that ends the watch for good. */
    @Test
    void failureInTheHandlingOfAnItemDoesNotEndTheWatch() throws Exception {
        assertWatchOutlives(() -> {
            throw new IllegalStateException("the first item is not handled");
        });
    }

    /** Guards against an error in the handling of an answer that ends the watch for good. */
    @Test
    void errorInTheHandlingOfAnItemDoesNotEndTheWatch() throws Exception {
        assertWatchOutlives(() -> {
            throw new StackOverflowError();
        });
    }

    private void assertWatchOutlives(Runnable failure) throws Exception {
        AtomicInteger handled = new AtomicInteger();
        front.loop()
                .submit(() -> front.feed().listener((value, afterInitialSnapshot, readableForMillis) -> {
                    if (handled.getAndIncrement() == 0) {
                        failure.run();
                    }
                }))
                .sync();
        store.put("servers/a", "{}");
        assertThat("first", await(() -> handled.get() == 1, APPLY_LIMIT_MILLIS), is(true));
        store.put("servers/b", "{}");
        assertThat("second", await(() -> handled.get() == 2, APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against requests to a worker whose entry no longer names a worker to use. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"state\":\"draining\"}",
                "{\"service\":\"s\",\"address\":\"ADDRESS\",\"zone\":\"z\",\"version\":\"v\",\"slots\":0,\"state\":\"draining\",\"cold-left-ms\":0,\"seq\":1}",
                "{\"service\":\"s\",\"address\":\"ADDRESS\",\"zone\":\"z\",\"version\":\"v\",\"slots\":4,\"state\":\"stopped\",\"cold-left-ms\":0,\"seq\":1}"
            })
    void workerWhoseEntryBecomesInvalidGetsNoRequests(String invalid) throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName(ip))) {
            Thread thread = new Thread(() -> answerAll(worker), "worker");
            thread.setDaemon(true);
            thread.start();
            String address = ip + ":" + worker.getLocalPort();
            String valid = "{" + String.join(",", WORKER).replace("127.0.0.1:9", address) + "}";
            publishVersion(",{" + String.join(",", ROUTE) + "}", "", "");
            store.put("servers/a", valid);
            assertThat("used", await(() -> statusOf("/a/x").equals("200"), READ_TIMEOUT_MILLIS), is(true));
            store.put("servers/a", invalid.replace("ADDRESS", address));
            assertThat("out of use", await(() -> statusOf("/a/x").equals("503"), APPLY_LIMIT_MILLIS), is(true));
            for (int i = 0; i < 5; i++) {
                assertThat(statusOf("/a/x"), is("503"));
            }
            store.put("servers/a", valid);
            assertThat("used again", await(() -> statusOf("/a/x").equals("200"), READ_TIMEOUT_MILLIS), is(true));
        }
    }

    /**
     * Guards against requests that run at a worker of another service, under whose id another writer has written an
     * entry that lacks a field.
     */
    @ParameterizedTest
    @ValueSource(strings = {"cold-left-ms", "seq"})
    void entryThatLacksAFieldLeadsNoRequestsToAWorkerOfAnotherService(String missing) throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName(ip))) {
            Thread thread = new Thread(() -> answerAll(worker), "worker");
            thread.setDaemon(true);
            thread.start();
            String allowed =
                    ("{" + String.join(",", WORKER) + "}").replace("127.0.0.1:9", ip + ":" + worker.getLocalPort());
            String route = ",{" + String.join(",", ROUTE) + "}";
            publishVersion(route, "", "");
            store.put("servers/a", allowed.replace("\"service\":\"s\"", "\"service\":\"other\""));
            assertThat("route known", await(() -> statusOf("/a/x").equals("503"), READ_TIMEOUT_MILLIS), is(true));
            store.put("servers/a", allowed.replace("\"" + missing + "\":", "\"x\":"));
            publishVersion(route, "", "");
            assertThat("entry read", inForce(APPLY_LIMIT_MILLIS), is(true));
            for (int i = 0; i < 5; i++) {
                assertThat(statusOf("/a/x"), is("503"));
            }
        }
    }

    /** Answers one request on each connection. */
    private static void answerAll(ServerSocket worker) {
        while (!worker.isClosed()) {
            try (Socket socket = worker.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 X\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n"
                                        + "Connection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The front closed the connection, or the test the socket, by which the loop ends.
                continue;
            }
        }
    }

    /** Guards against items that are lost, or come back, between the pages of a copy and the watch after it. */
    @Test
    void changesBetweenThePagesOfACopyAreNotLost() throws Exception {
        Map<String, Long> seen = new ConcurrentHashMap<>();
        front.loop()
                .submit(() -> front.feed().listener((value, afterInitialSnapshot, readableForMillis) -> {
                    if (value.removed()) {
                        seen.remove(value.key());
                    } else {
                        seen.put(value.key(), value.revision());
                    }
                }))
                .sync();
        Map<String, Long> published = new HashMap<>();
        Random random = new Random(1);
        store.begin(StoreFault.LATE);
        for (int burst = 0; burst < 40; burst++) {
            for (int i = 0; i < 100; i++) {
                String key = "servers/" + random.nextInt(1_500);
                if (published.containsKey(key) && random.nextInt(3) == 0) {
                    published.remove(key);
                    store.remove(key);
                } else {
                    published.put(key, store.put(key, "{}").revision());
                }
            }
            if (burst % 5 == 0) {
                store.discardHistory();
            }
            store.awaitAnswers(1);
        }
        store.endFaults();
        assertThat("all seen", await(() -> seen.equals(published), CONTACT_LIMIT_MILLIS), is(true));
    }

    /** Guards against copies without a pause, which take the read calls of the whole fleet from the store. */
    @Test
    void copiesAfterDiscardedHistoriesPauseAsWatchesDo() throws Exception {
        long answered = store.answers();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISCARDING_MILLIS);
        while (System.nanoTime() < endNanos) {
            store.put("servers/a", "{}");
            store.discardHistory();
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertThat(
                store.answers() - answered, lessThanOrEqualTo(CALLS_OF_COPY * (DISCARDING_MILLIS / PAUSE_MILLIS + 2)));
        publishVersion("", "", "");
        assertThat("in force", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against a watch that recovers too slowly, or not at all, from what the store did to it. */
    @ParameterizedTest
    @EnumSource(StoreFault.class)
    void changeIsInForceSoonAfterAFaultOfTheStore(StoreFault fault) throws Exception {
        for (boolean discarded : new boolean[] {false, true}) {
            store.begin(fault);
            publishVersion("", "", "");
            if (discarded) {
                store.discardHistory();
            }
            store.awaitAnswers(3);
            store.endFaults();
            publishVersion("", "", "");
            assertThat("in force after " + fault, inForce(CONTACT_LIMIT_MILLIS), is(true));
        }
    }

    /** Guards against a copy that is never read because the second answer to the watch is taken for its first page. */
    @Test
    void secondAnswerThatHistoryIsGoneDoesNotEndTheCopy() throws Exception {
        store.begin(StoreFault.TWICE);
        store.put("servers/a", "{}");
        store.awaitAnswers(1);
        publishVersion("", "", "");
        store.discardHistory();
        assertThat("in force", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /**
     * Guards against a small change that is taken for the rest of the large one before it, which came once and a half.
     */
    @ParameterizedTest
    @EnumSource(
            value = StoreFault.class,
            names = {"PART_AGAIN", "PART_LATER"})
    void partOfAnAnswerDoesNotHoldTheNextOneBack(StoreFault fault) throws Exception {
        store.begin(fault);
        publishVersion("," + String.join(",", variants(ROUTE)), "", "");
        assertThat("large one in force", inForce(APPLY_LIMIT_MILLIS), is(true));
        publishVersion("", "", "");
        assertThat("small one in force", inForce(APPLY_LIMIT_MILLIS), is(true));
    }

    /** Guards against taking a store that cannot be connected to for one that was only interrupted. */
    @Test
    void storeThatCannotBeConnectedToIsOut() throws Exception {
        String address = store.address();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        store.stop();
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocket full = new ServerSocket()) {
            full.setReuseAddress(true);
            assertThat("bound", await(() -> tryBind(full, port), READ_TIMEOUT_MILLIS), is(true));
            assertThat("full", await(() -> cannotConnect(port, waiting), READ_TIMEOUT_MILLIS), is(true));
            assertThat("outage", await(() -> front.feed().readableForMillis() == 0, READ_TIMEOUT_MILLIS), is(true));
        } finally {
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    /** Binds to the port of the store, which may not have let go of it yet. */
    private boolean tryBind(ServerSocket server, int port) throws IOException {
        try {
            server.bind(new InetSocketAddress(ip, port), 1);
            return true;
        } catch (BindException e) {
            return false;
        }
    }

    /** Takes one place more of those that wait to be accepted; tells whether there was none. */
    private boolean cannotConnect(int port, List<Socket> waiting) throws IOException {
        Socket socket = new Socket();
        waiting.add(socket);
        try {
            socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MILLIS);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Returns objects with these members, each with one of them replaced by an odd value or left out. */
    private static List<String> variants(List<String> members) {
        List<String> variants = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            String name = members.get(i).substring(0, members.get(i).indexOf(':'));
            List<String> changed = new ArrayList<>(members);
            for (String odd : ODD_VALUES) {
                changed.set(i, name + ":" + odd);
                variants.add("{" + String.join(",", changed) + "}");
            }
            changed.remove(i);
            variants.add("{" + String.join(",", changed) + "}");
        }
        return variants;
    }

    /** Publishes the next version, which differs from the one before in the only route that it surely has. */
    private void publishVersion(String routes, String services, String tenants) {
        version++;
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r" + version
                        + "/\",\"kind\":\"safe\",\"timeout-ms\":300,\"slo-ms\":100,\"service\":\"none\","
                        + "\"attempts\":1,\"public\":true}" + routes
                        + "],\"services\":[{\"name\":\"none\",\"health-path\":\"/\"}" + services
                        + "],\"limits\":{},\"tenants\":[" + tenants + "]}");
    }

    /** Tells whether the newest version comes into force within a time. */
    private boolean inForce(long limitMillis) throws Exception {
        return await(() -> !statusOf("/r" + version + "/x").equals("404"), limitMillis);
    }

    private static boolean await(Callable<Boolean> condition, long limitMillis) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (System.nanoTime() < endNanos) {
            if (condition.call()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return false;
    }

    private String statusOf(String path) throws IOException {
        try (Socket socket = new Socket(ip, LocalFront.CALLER_PORT)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 50\r\n"
                                    + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return line == null ? "" : line.split(" ")[1];
        }
    }
}
