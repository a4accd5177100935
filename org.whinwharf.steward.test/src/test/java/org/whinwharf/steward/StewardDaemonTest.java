package org.whinwharf.steward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.micronaut.http.client.HttpClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.StewardSettings;
import org.whinwharf.wire.schema.TargetInfo;

/** A whole steward on loopback, with a platform and an engine that a test controls. */
class StewardDaemonTest {
    private static final String STEWARD = "127.0.43.1";
    private static final String SURROUNDINGS = "127.0.43.9";

    private FakeSurroundings surroundings;
    private StewardDaemon daemon;
    private int peerPort;

    @BeforeEach
    void start() throws IOException {
        peerPort = freePort();
        surroundings = new FakeSurroundings(SURROUNDINGS);
        surroundings.publish(3, steward(), engine());
        surroundings.publish(1, "v1");
        daemon = new StewardDaemon(settings());
        daemon.start();
    }

    @AfterEach
    void stop() {
        daemon.stop();
        surroundings.close();
    }

    @Test
    void engineFollowsTheDocumentAndOrdersCarryTheListsRevision() throws Exception {
        EngineOrder first = surroundings.nextOrder();
        assertThat(first.getLoadModel(), is("lampa"));
        assertThat(first.getVersion(), is("v1"));
        assertThat(first.getFencingNumber(), is(3L));
        assertThat(first.getWeightStoreUrl(), is("http://127.0.43.9:1"));

        surroundings.publish(4, steward(), engine());
        surroundings.publish(2, "v2");
        EngineOrder second = surroundings.nextOrder();
        assertThat(second.getVersion(), is("v2"));
        try (HttpClient client = HttpClient.create(
                URI.create("http://" + STEWARD + ":" + daemon.adminPort()).toURL())) {
            String metrics = client.toBlocking().retrieve("/metrics");
            assertThat(metrics, containsString("whinwharf_orders_total{kind=\"load\",outcome=\"accepted\"}"));
            assertThat(client.toBlocking().retrieve("/v1/status"), containsString("\"target\":\"engine-a\""));
        }
    }

    // The host of a steward is replaced. Its successor is another host, so nothing must come from the one that leaves.
    @Test
    void leavingStewardOrdersNothingMore() throws Exception {
        surroundings.nextOrder();
        daemon.leave().get(20, TimeUnit.SECONDS);
        surroundings.publish(2, "v2");
        daemon.stop();
        assertThat(surroundings.ordersWaiting(), is(0));
    }

    private StewardSettings settings() {
        NodeSettings node = NodeSettings.newBuilder()
                .setHost("host-a")
                .setDataCentre("martin-a")
                .setAddress(STEWARD)
                .setEnvironment(FakeSurroundings.ENVIRONMENT)
                .setConfigurationUrl(surroundings.url())
                .setHostListUrl(surroundings.url())
                .setPeerPort(peerPort)
                .build();
        return StewardSettings.newBuilder()
                .setNode(node)
                .setOrderMillis(10_000)
                .setWeightLoadsPerSecond(10)
                .setWeightStoreUrl("http://127.0.43.9:1")
                .build();
    }

    private Host steward() {
        return Host.newBuilder()
                .setName("host-a")
                .setAddress(STEWARD)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.newBuilder().setStewardPeer(peerPort))
                .build();
    }

    private Host engine() {
        return Host.newBuilder()
                .setName("engine-a")
                .setAddress(SURROUNDINGS)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setTarget(TargetInfo.newBuilder().setService("lampa-llm").setPort(surroundings.port()))
                .build();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(STEWARD))) {
            return socket.getLocalPort();
        }
    }
}
