package org.whinwharf.scheduler;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.TargetLoad;

/** Serves the configuration, the host list and one idle target on one port, without long polling. */
final class FakePlatform implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final long NOT_MODIFIED_DELAY_MILLIS = 100;

    private final HttpServer server;
    private volatile byte[] document = new byte[0];
    private volatile HostList hosts = HostList.getDefaultInstance();

    FakePlatform(String address) throws IOException {
        server = HttpServer.create(new InetSocketAddress(address, 0), 0);
        server.createContext("/v1/documents/", exchange -> publish(exchange, "above=0", document));
        server.createContext("/v1/hosts", exchange -> publish(exchange, "after=0", json(hosts)));
        server.createContext("/v1/load", exchange -> respond(exchange, OK, json(load())));
        server.createContext("/v1/cache-events", exchange -> respond(exchange, OK, "{}".getBytes()));
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    String url() {
        return "http://" + server.getAddress().getHostString() + ":" + port();
    }

    void publish(byte[] newDocument, HostList newHosts) {
        document = newDocument;
        hosts = newHosts;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private static void publish(HttpExchange exchange, String initialQuery, byte[] body) throws IOException {
        if (exchange.getRequestURI().getQuery().contains(initialQuery)) {
            respond(exchange, OK, body);
        } else {
            pause();
            exchange.sendResponseHeaders(NOT_MODIFIED, -1);
            exchange.close();
        }
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("X-Generation", "1");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static TargetLoad load() {
        return TargetLoad.newBuilder().setStartNumber(1).build();
    }

    private static byte[] json(Message message) throws InvalidProtocolBufferException {
        return JsonFormat.printer().print(message).getBytes(StandardCharsets.UTF_8);
    }

    private static void pause() {
        try {
            Thread.sleep(NOT_MODIFIED_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
