package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.ItemsRequest;

/** Transfers large items between fronts over the slow links of small hosts. */
class LargeItemsTest {
    private static final String IP = "127.0.0.1";
    private static final String KEY = "configuration";
    /** Bandwidth of the slowest link in use, 7 Mbit/s. */
    private static final long LINK_BYTES_PER_SECOND = 875_000;
    /** Limit for applying a change. */
    private static final long APPLY_LIMIT_MILLIS = 3_000;

    private static final long TIMEOUT_SECONDS = 20;
    /** Age of the items at the front that serves them. */
    private static final long REPORTED_AGE_MILLIS = 700;

    private static final int ROUTES = 1_848;
    /** Maximum size of a published value. */
    private static final int MAX_VALUE_BYTES = 1_048_576;

    private final EventLoopGroup serverLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup requesterLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ItemMirror published = new ItemMirror();
    private final PeerItems server = new PeerItems(serverLoop, published, new FrontMetrics());
    private final int serverPort = freePort();
    private final Random random = new Random(27);

    LargeItemsTest() throws Exception {
        server.start(IP, serverPort, new FixedFreshness());
    }

    @AfterEach
    void stop() {
        server.stop();
        serverLoop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        requesterLoop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Guards against a front that misses some versions and never again receives a complete answer over a busy link. */
    @Test
    void frontThatMissedVersionsCatchesUp() throws Exception {
        publish(routes(35), 35);
        Requester requester = new Requester();
        requester.loadAtRevision(35);
        publish(routes(37), 37);
        publish(routes(41), 41);
        publish(routes(44), 44);
        // Callers use half of the link.
        try (SlowLink link = new SlowLink(IP, IP, serverPort, LINK_BYTES_PER_SECOND / 2)) {
            long startNanos = System.nanoTime();
            Optional<ItemsAnswer> answer = requester.requestChanges(link, 1_000).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(answer.map(ItemsAnswer::getRevision), is(Optional.of(44L)));
            assertThat((long) answer.get().getAgeMillis(), is(REPORTED_AGE_MILLIS));
            assertThat(answer.get().getReadableMillis(), is(60_000));
            assertThat(millisSince(startNanos), lessThan(APPLY_LIMIT_MILLIS));
        }
    }

    /** Guards against discarding an answer that is still arriving and requesting all of it again. */
    @Test
    void answerInProgressIsNotAborted() throws Exception {
        byte[] incompressible = new byte[MAX_VALUE_BYTES];
        random.nextBytes(incompressible);
        publish(incompressible, 1);
        try (SlowLink link = new SlowLink(IP, IP, serverPort, LINK_BYTES_PER_SECOND)) {
            Optional<ItemsAnswer> answer =
                    new Requester().requestChanges(link, 0).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(answer.map(ItemsAnswer::getRevision), is(Optional.of(1L)));
        }
    }

    /** Guards against a change that saturates the link of a front that serves it to eight peers. */
    @Test
    void oneFrontServesEightPeersWithinHalfOfTheLimit() throws Exception {
        publish(routes(35), 35);
        List<Requester> requesters = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Requester requester = new Requester();
            requester.loadAtRevision(35);
            requesters.add(requester);
        }
        publish(routes(37), 37);
        try (SlowLink link = new SlowLink(IP, IP, serverPort, LINK_BYTES_PER_SECOND)) {
            long startNanos = System.nanoTime();
            List<CompletableFuture<Optional<ItemsAnswer>>> answers = requesters.stream()
                    .map(requester -> requester.requestChanges(link, 1_000))
                    .toList();
            for (CompletableFuture<Optional<ItemsAnswer>> answer : answers) {
                Optional<ItemsAnswer> complete = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertThat(complete.map(ItemsAnswer::getRevision), is(Optional.of(37L)));
            }
            assertThat(millisSince(startNanos), lessThan(APPLY_LIMIT_MILLIS / 2));
        }
    }

    /** Guards against sending deflated answers to a requester of an earlier release, which cannot read them. */
    @Test
    void requesterWithoutDeflateGetsPlainItems() throws Exception {
        publish(routes(35), 35);
        try (Socket socket = new Socket(IP, serverPort)) {
            byte[] request = ItemsRequest.newBuilder().build().toByteArray();
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(request.length);
            out.write(request);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            ItemsAnswer answer = ItemsAnswer.parseFrom(in.readNBytes(in.readInt()));
            assertThat(answer.getItems(0).getValue().toByteArray(), is(routes(35)));
        }
    }

    private void publish(byte[] value, long revision) throws Exception {
        PublishedValue item = new PublishedValue(KEY, value, revision);
        serverLoop
                .submit(() -> {
                    if (published.revision() == 0) {
                        published.replace(List.of(item), revision);
                    } else {
                        published.apply(List.of(item), revision);
                    }
                })
                .get();
    }

    /** Returns a configuration with many distinct routes, as an operator writes it. */
    private byte[] routes(long version) {
        Random names = new Random(7);
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            String name = Long.toString(names.nextLong() >>> 24, 36);
            text.append("{\"name\":\"").append(name).append("\",\"host\":\"registers.example\",\"prefix\":\"/");
            text.append(name).append("/\",\"kind\":\"unsafe\",\"service\":\"summit-register\",\"timeout-ms\":1584,");
            text.append("\"slo-ms\":149,\"priority\":1,\"attempts\":2},");
        }
        return text.append("{}]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static final class FixedFreshness implements ItemFreshness {
        @Override
        public long ageMillis() {
            return REPORTED_AGE_MILLIS;
        }

        @Override
        public long readableForMillis() {
            return Long.MAX_VALUE;
        }

        @Override
        public boolean watchHealthy() {
            return true;
        }
    }

    /** A front that requests items from the server. */
    private final class Requester {
        private final ItemMirror mirror = new ItemMirror();
        private final PeerItems items = new PeerItems(requesterLoop, mirror, new FrontMetrics());

        void loadAtRevision(long revision) {
            mirror.replace(published.all(), revision);
        }

        CompletableFuture<Optional<ItemsAnswer>> requestChanges(SlowLink link, long waitMillis) {
            CompletableFuture<Optional<ItemsAnswer>> answer = new CompletableFuture<>();
            requesterLoop.execute(() -> items.requestChanges(IP, link.port(), waitMillis, answer::complete));
            return answer;
        }
    }
}
