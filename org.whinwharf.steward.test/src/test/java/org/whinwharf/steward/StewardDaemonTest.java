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
import org.whinwharf.standin.LoopbackNetwork;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.StewardSettings;
import org.whinwharf.wire.schema.TargetInfo;

/** Tests a complete steward daemon on loopback against a fake platform and engine. */
class StewardDaemonTest {
    private static final LoopbackNetwork NETWORK = LoopbackNetwork.next();
    private static final String STEWARD_ADDRESS = NETWORK.address(1);
    private static final String PLATFORM_ADDRESS = NETWORK.address(2);
    private static final String WEIGHT_STORE_URL = "http://" + PLATFORM_ADDRESS + ":1";

    private FakePlatformAndEngine platform;
    private StewardDaemon daemon;
    private int peerPort;

    @BeforeEach
    void start() throws IOException {
        peerPort = freePort();
        platform = new FakePlatformAndEngine(PLATFORM_ADDRESS);
        platform.publish(3, steward(), engine());
        platform.publish(1, "v1");
        daemon = new StewardDaemon(settings());
        daemon.start();
    }

    @AfterEach
    void stop() {
        daemon.stop();
        platform.close();
    }

    @Test
    void ordersDocumentVersionsWithTheListRevisionAsFencingNumber() throws Exception {
        EngineOrder first = platform.nextOrder();
        assertThat(first.getLoadModel(), is("lampa"));
        assertThat(first.getVersion(), is("v1"));
        assertThat(first.getFencingNumber(), is(3L));
        assertThat(first.getWeightStoreUrl(), is(WEIGHT_STORE_URL));

        platform.publish(4, steward(), engine());
        platform.publish(2, "v2");
        EngineOrder second = platform.nextOrder();
        assertThat(second.getVersion(), is("v2"));
        try (HttpClient client = HttpClient.create(URI.create("http://" + STEWARD_ADDRESS + ":" + daemon.adminPort())
                .toURL())) {
            String metrics = client.toBlocking().retrieve("/metrics");
            assertThat(metrics, containsString("whinwharf_orders_total{kind=\"load\",outcome=\"accepted\"}"));
            assertThat(client.toBlocking().retrieve("/v1/status"), containsString("\"target\":\"engine-a\""));
        }
    }

    // The host of a steward is being replaced. Another host succeeds it, so the leaving steward must send no more
    // orders.
    @Test
    void leavingStewardSendsNoMoreOrders() throws Exception {
        platform.nextOrder();
        daemon.leave().get(20, TimeUnit.SECONDS);
        platform.publish(2, "v2");
        daemon.stop();
        assertThat(platform.unreadOrders(), is(0));
    }

    private StewardSettings settings() {
        NodeSettings node = NodeSettings.newBuilder()
                .setHost("host-a")
                .setDataCentre("martin-a")
                .setAddress(STEWARD_ADDRESS)
                .setEnvironment(FakePlatformAndEngine.ENVIRONMENT)
                .setConfigurationUrl(platform.url())
                .setHostListUrl(platform.url())
                .setPeerPort(peerPort)
                .build();
        return StewardSettings.newBuilder()
                .setNode(node)
                .setOrderMillis(10_000)
                .setWeightLoadsPerSecond(10)
                .setWeightStoreUrl(WEIGHT_STORE_URL)
                .build();
    }

    private Host steward() {
        return Host.newBuilder()
                .setName("host-a")
                .setAddress(STEWARD_ADDRESS)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.newBuilder().setStewardPeer(peerPort))
                .build();
    }

    private Host engine() {
        return Host.newBuilder()
                .setName("engine-a")
                .setAddress(PLATFORM_ADDRESS)
                .setDataCentre("martin-a")
                .setState(HostState.LIVE)
                .setTarget(TargetInfo.newBuilder().setService("lampa-llm").setPort(platform.port()))
                .build();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(STEWARD_ADDRESS))) {
            return socket.getLocalPort();
        }
    }
}
