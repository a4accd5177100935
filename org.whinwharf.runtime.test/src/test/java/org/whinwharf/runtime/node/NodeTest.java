package org.whinwharf.runtime.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.BlockingHttpClient;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.document.DocumentView;
import org.whinwharf.runtime.TestFleet;
import org.whinwharf.runtime.admin.AdminRoute;
import org.whinwharf.standin.LoopbackNetwork;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.schema.NodeSettings;

/** Nodes with real sockets on loopback and a platform that a test controls. */
class NodeTest {
    private static final LoopbackNetwork NETWORK = LoopbackNetwork.next();
    private static final String ADDRESS_A = NETWORK.address(1);
    private static final String ADDRESS_B = NETWORK.address(2);
    private static final String PLATFORM_ADDRESS = NETWORK.address(3);
    private static final long PATIENCE_SECONDS = 20;

    private final List<Node> nodes = new ArrayList<>();
    private FakePlatform platform;
    private int portA;
    private int portB;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = new FakePlatform(PLATFORM_ADDRESS);
        portA = freePort(ADDRESS_A);
        portB = freePort(ADDRESS_B);
        platform.publish(TestFleet.list(
                3, TestFleet.host("host-a", ADDRESS_A, portA), TestFleet.host("host-b", ADDRESS_B, portB)));
        platform.publish(1);
    }

    @AfterEach
    void stopAll() {
        nodes.forEach(Node::stop);
        platform.close();
    }

    // The configuration service goes down, a host is replaced, and the service comes back with an old document. The
    // new host must serve by what its peer knows, and neither may go back.
    @Test
    void hostThatStartsDuringAnOutageTakesTheDocumentOfItsPeer() throws InterruptedException {
        Changes atA = new Changes();
        start("host-a", ADDRESS_A, portA, atA);
        assertThat(atA.next(), is(1L));
        platform.publish(5);
        assertThat(atA.next(), is(5L));
        platform.documentsDown(true);

        Changes atB = new Changes();
        Node b = start("host-b", ADDRESS_B, portB, atB);
        assertThat(atB.next(), is(5L));

        platform.publish(2);
        platform.documentsDown(false);
        platform.publish(6);
        assertThat(atA.next(), is(6L));
        assertThat(atB.next(), is(6L));
        assertThat(b.status().getDocumentDigest().isEmpty(), is(false));
    }

    @Test
    void operatorsRoutesShowTheNode() throws Exception {
        Changes changes = new Changes();
        Node node = start("host-a", ADDRESS_A, portA, changes);
        changes.next();
        try (HttpClient client = HttpClient.create(
                URI.create("http://" + ADDRESS_A + ":" + node.adminPort()).toURL())) {
            BlockingHttpClient http = client.toBlocking();
            assertThat(http.retrieve("/health"), is("up\n"));
            assertThat(http.retrieve("/v1/status"), containsString("\"host\":\"host-a\""));
            assertThat(http.retrieve("/v1/echo/x"), is("{\"echo\":\"x\"}"));
            assertThat(http.retrieve("/metrics"), containsString("whinwharf_document_generation"));
            assertThat(http.retrieve("/metrics"), containsString("whinwharf_heap_live_bytes"));
            assertThat(
                    http.retrieve("/metrics"), containsString("whinwharf_platform_reads_total{source=\"document\"}"));
            assertThat(status(http, "/v1/other/x"), is(404));
            node.leave();
            assertThat(status(http, "/ready"), is(503));
        }
    }

    // Readings of gauges went through objects that nothing else held; after the first collection all of them read NaN
    // and every alarm on them was silent.
    @Test
    void gaugesStillReadAfterACollection() throws Exception {
        Changes changes = new Changes();
        Node node = start("host-a", ADDRESS_A, portA, changes);
        changes.next();
        System.gc();
        try (HttpClient client = HttpClient.create(
                URI.create("http://" + ADDRESS_A + ":" + node.adminPort()).toURL())) {
            String metrics = client.toBlocking().retrieve("/metrics");
            assertThat(metrics, containsString("whinwharf_document_generation 1.0"));
            assertThat(metrics, containsString("whinwharf_list_revision 3.0"));
            assertThat(node.listHeardAtMillis(3).isPresent(), is(true));
            assertThat(node.listHeardAtMillis(2).isPresent(), is(false));
        }
    }

    private Node start(String host, String address, int port, NodeListener listener) {
        NodeSettings settings = NodeSettings.newBuilder()
                .setHost(host)
                .setDataCentre("martin-a")
                .setAddress(address)
                .setEnvironment(TestFleet.ENVIRONMENT)
                .setConfigurationUrl(platform.url())
                .setHostListUrl(platform.url())
                .setPeerPort(port)
                .build();
        Node node = Node.builder()
                .settings(settings)
                .role(Role.SCHEDULER)
                .listener(listener)
                .route(new Echo())
                .startSpreadMillis(1)
                .listWaitMillis(500)
                .call();
        nodes.add(node);
        node.start();
        return node;
    }

    private static int status(BlockingHttpClient http, String path) {
        return Assertions.assertThrows(
                        HttpClientResponseException.class, () -> http.exchange(HttpRequest.GET(path), String.class))
                .code();
    }

    private static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    private static final class Changes implements NodeListener {
        private final BlockingQueue<Long> generations = new LinkedBlockingQueue<>();

        @Override
        public void documentChanged(DocumentView document) {
            generations.add(document.generation());
        }

        long next() throws InterruptedException {
            Long generation = generations.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            return generation == null ? -1 : generation;
        }
    }

    private static final class Echo implements AdminRoute {
        @Override
        public String name() {
            return "echo";
        }

        @Override
        public Optional<String> answer(String parameter) {
            return Optional.of("{\"echo\":\"" + parameter + "\"}");
        }
    }
}
