package org.whinwharf.entry.internal;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.wire.schema.EntrySettings;

/** HTTP server for callers. */
final class CallerServer implements Service {
    /** Value of {@link AdminServer#SERVER_PROPERTY} in this server. */
    static final String CALLERS = "callers";

    private static final int NETWORK_THREADS = 2;
    private static final String NO_TIMEOUT = "-1s";

    private final EntrySettings settings;
    private final CallerRequests requests;
    private final Exchanges exchanges;
    private ApplicationContext context;

    CallerServer(EntrySettings settings, CallerRequests requests, Exchanges exchanges) {
        this.settings = settings;
        this.requests = requests;
        this.exchanges = exchanges;
    }

    @Override
    public void start() {
        context = ApplicationContext.builder(properties()).banner(false).build();
        context.registerSingleton(CallerRequests.class, requests);
        context.registerSingleton(EntrySettings.class, settings);
        context.registerSingleton(Exchanges.class, exchanges);
        context.start();
        context.getBean(EmbeddedServer.class).start();
    }

    @Override
    public void stop() {
        if (context != null && context.isRunning()) {
            context.close();
        }
    }

    int port() {
        return context.getBean(EmbeddedServer.class).getPort();
    }

    private Map<String, Object> properties() {
        Map<String, Object> properties = new HashMap<>();
        properties.put(AdminServer.SERVER_PROPERTY, CALLERS);
        properties.put("micronaut.server.host", settings.getNode().getAddress());
        properties.put("micronaut.server.port", settings.getCallerPort());
        properties.put("micronaut.server.max-request-size", settings.getMaxBodyBytes());
        // The server's own timeout also cuts off callers that wait; see IdleGuard.
        properties.put("micronaut.server.idle-timeout", NO_TIMEOUT);
        properties.put("micronaut.server.read-idle-timeout", NO_TIMEOUT);
        properties.put("micronaut.server.write-idle-timeout", NO_TIMEOUT);
        properties.put("micronaut.server.netty.max-header-size", settings.getMaxHeaderBytes());
        properties.put("micronaut.netty.event-loops.default.num-threads", NETWORK_THREADS);
        if (settings.hasTls()) {
            putTls(properties);
        }
        return properties;
    }

    private void putTls(Map<String, Object> properties) {
        properties.put("micronaut.server.ssl.enabled", true);
        properties.put("micronaut.server.ssl.port", settings.getCallerPort());
        properties.put("micronaut.server.ssl.key-store.type", "PKCS12");
        properties.put(
                "micronaut.server.ssl.key-store.path",
                "file:" + settings.getTls().getKeyStoreFile());
        properties.put("micronaut.server.ssl.key-store.password", password());
    }

    private String password() {
        try {
            return Files.readString(Path.of(settings.getTls().getPasswordFile()))
                    .strip();
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}
