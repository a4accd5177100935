package org.whinwharf.standin.internal;

import com.github.rvesse.airline.annotations.Option;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Options and start that all stand-ins share: one server that listens on every address and port given. */
abstract class ServerCommand implements Runnable {
    /** Property that says which stand-in's routes the server has. */
    static final String KIND = "standin.kind";

    private static final String LISTENER = "micronaut.server.netty.listeners.l";

    @Option(
            name = "--address",
            title = "IP[,IP...]",
            description = "Addresses to listen on; each is a stand-in of its own")
    private String address = "127.0.0.1";

    @Option(name = "--port", title = "PORT", description = "Port, the first of --count")
    private int port = 9000;

    @Option(
            name = "--count",
            title = "N",
            description = "Stand-ins at each address, on consecutive ports; they share the process")
    private int count = 1;

    /**
     * Starts the server and prints the line {@code ready} once it listens.
     *
     * @param kind which stand-in's routes it has
     * @param state what the routes work on
     */
    void serve(String kind, Object state) {
        ApplicationContext context = ApplicationContext.builder()
                .properties(properties(kind))
                .singletons(state)
                .banner(false)
                .build();
        context.start();
        context.getBean(EmbeddedServer.class).start();
        System.out.println("ready " + kind + " " + addresses());
    }

    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String ip : address.split(",")) {
            for (int offset = 0; offset < count; offset++) {
                addresses.add(new InetSocketAddress(ip, port + offset));
            }
        }
        return addresses;
    }

    private Map<String, Object> properties(String kind) {
        Map<String, Object> properties = new HashMap<>();
        properties.put(KIND, kind);
        properties.put("micronaut.netty.event-loops.default.num-threads", 2);
        properties.put("micronaut.server.max-request-size", "32MB");
        properties.put("micronaut.server.netty.max-header-size", "64KB");
        int index = 0;
        for (InetSocketAddress each : addresses()) {
            properties.put(LISTENER + index + ".host", each.getAddress().getHostAddress());
            properties.put(LISTENER + index + ".port", each.getPort());
            index++;
        }
        return properties;
    }
}
