package org.whinwharf.scheduler.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.owner.SchedulerConfiguration;
import org.whinwharf.owner.SchedulerEvent;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.TargetLoad;

/** Duty that polls the load and the cache events of the targets of all slices that this process handles. */
public final class LoadPoller implements Service {
    private static final int RING_SIZE = 64;
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int POLLS_PER_CACHE_REQUEST = 4;

    private final Ticker ticker;
    private final EventRing ring;
    private final HttpClient client;
    private final Duty<Map<String, Target>> duty;
    private final Set<String> pendingRequests = ConcurrentHashMap.newKeySet();

    /**
     * Creates the poller.
     *
     * @param pollMillis interval between two polls of a target, in milliseconds
     * @param ticker monotonic clock of this process
     * @param ring ring of the duty that makes decisions
     */
    public LoadPoller(long pollMillis, Ticker ticker, EventRing ring) {
        this.ticker = ticker;
        this.ring = ring;
        this.client = newClient();
        this.duty = Duty.<Map<String, Target>>builder()
                .name("load")
                .handler(new PollHandler())
                .ringSize(RING_SIZE)
                .tickMillis(pollMillis)
                .call();
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
        client.close();
    }

    /**
     * Replaces the targets to poll.
     *
     * @param targets targets by name
     */
    public void updateTargets(Map<String, Target> targets) {
        duty.offer(Map.copyOf(targets));
    }

    private static HttpClient newClient() {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS));
        configuration.setReadTimeout(Duration.ofMillis(RESPONSE_TIMEOUT_MILLIS));
        configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
        configuration.setNumOfThreads(1);
        return HttpClient.create((URL) null, configuration);
    }

    private void requestLoad(String name, Target target) {
        long requestedAtMillis = ticker.nowMillis();
        sendRequest(
                name + "/load",
                target.baseUrl() + "/v1/load",
                body -> {
                    TargetLoad load = parse(body, TargetLoad.newBuilder()).build();
                    ring.offer(loop -> loop.handle(new SchedulerEvent.LoadReceived(name, load, requestedAtMillis)));
                },
                () -> ring.offer(loop -> loop.handle(new SchedulerEvent.LoadRequestFailed(name))));
    }

    private void requestCacheEvents(String name, Target target) {
        sendRequest(
                name + "/cache",
                target.baseUrl() + "/v1/cache-events?after=" + target.lastCacheEventNumber(),
                body -> {
                    CacheEvents events = parse(body, CacheEvents.newBuilder()).build();
                    ring.offer(loop -> loop.handle(new SchedulerEvent.CacheEventsReceived(name, events)));
                },
                () -> {
                    // The cached prefixes known so far remain usable; the next request asks for the same events
                    // again.
                });
    }

    // Each target has at most one pending request of a kind, so that requests do not accumulate at a slow target.
    private void sendRequest(String key, String url, Consumer<byte[]> onResponse, Runnable onFailure) {
        if (!pendingRequests.add(key)) {
            return;
        }
        client.exchange(HttpRequest.GET(url), byte[].class)
                .subscribe(new SingleResponse<>(
                        response -> {
                            pendingRequests.remove(key);
                            handleResponse(response, onResponse, onFailure);
                        },
                        () -> {
                            pendingRequests.remove(key);
                            onFailure.run();
                        }));
    }

    private static void handleResponse(HttpResponse<byte[]> response, Consumer<byte[]> onResponse, Runnable onFailure) {
        byte[] body = response.body();
        try {
            onResponse.accept(body == null ? new byte[0] : body);
        } catch (IllegalArgumentException malformed) {
            onFailure.run();
        }
    }

    private static <B extends Message.Builder> B parse(byte[] json, B builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(new String(json, StandardCharsets.UTF_8), builder);
            return builder;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Address of a target to poll.
     *
     * @param baseUrl base URL with the IP address
     * @param hasCache true for a model engine
     * @param lastCacheEventNumber number of the last cache event received
     */
    public record Target(String baseUrl, boolean hasCache, long lastCacheEventNumber) {
        static Target of(Host host, SchedulerConfiguration configuration, long lastCacheEventNumber) {
            String url = "http://" + host.getAddress() + ":" + host.getTarget().getPort();
            ServiceKind kind =
                    configuration.service(host.getTarget().getService()).getKind();
            return new Target(url, kind == ServiceKind.ENGINE, lastCacheEventNumber);
        }
    }

    private final class PollHandler implements DutyHandler<Map<String, Target>> {
        private Map<String, Target> targets = new HashMap<>();
        private int pollCount;

        @Override
        public void handle(Map<String, Target> event) {
            targets = event;
        }

        @Override
        public void tick() {
            boolean includeCache = pollCount++ % POLLS_PER_CACHE_REQUEST == 0;
            targets.forEach((name, target) -> {
                requestLoad(name, target);
                if (includeCache && target.hasCache()) {
                    requestCacheEvents(name, target);
                }
            });
        }
    }
}
