package org.whinwharf.runtime.admin;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.List;
import java.util.Map;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.runtime.admin.internal.AdminRoutes;

/**
 * HTTP server for operators.
 *
 * <p>It runs in an application context of its own. Beans that belong to it require the property
 * {@code whinwharf.server} to be {@code admin}; other servers of the process set it to another value.
 */
public final class AdminServer implements Service {
    /** Property that tells the servers of one process apart. */
    public static final String SERVER_PROPERTY = "whinwharf.server";

    /** Value of the property in this server. */
    public static final String ADMIN = "admin";

    private static final String MAX_BODY_BYTES = "65536";

    private final String address;
    private final int port;
    private final PrometheusMeterRegistry registry;
    private final AdminView view;
    private final List<AdminRoute> routes;
    private ApplicationContext context;
    private EmbeddedServer server;

    /**
     * Makes a server.
     *
     * @param address IP number to listen on
     * @param port TCP port; 0 for one that the system chooses
     * @param registry metrics
     * @param view what to show
     * @param routes routes of the daemon
     */
    public AdminServer(
            String address, int port, PrometheusMeterRegistry registry, AdminView view, List<AdminRoute> routes) {
        this.address = address;
        this.port = port;
        this.registry = registry;
        this.view = view;
        this.routes = List.copyOf(routes);
    }

    /**
     * Listens.
     *
     * @throws io.micronaut.http.server.exceptions.ServerStartupException when the port cannot be used
     */
    @Override
    public void start() {
        Map<String, Object> properties = Map.of(
                SERVER_PROPERTY,
                ADMIN,
                "micronaut.server.host",
                address,
                "micronaut.server.port",
                port == 0 ? -1 : port,
                "micronaut.server.max-request-size",
                MAX_BODY_BYTES,
                "micronaut.netty.event-loops.default.num-threads",
                1);
        context = ApplicationContext.builder(properties).banner(false).build();
        context.registerSingleton(AdminRoutes.class, new AdminRoutes(view, routes));
        context.registerSingleton(PrometheusMeterRegistry.class, registry);
        context.start();
        server = context.getBean(EmbeddedServer.class).start();
    }

    @Override
    public void stop() {
        if (context != null && context.isRunning()) {
            context.close();
        }
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return TCP port
     */
    public int port() {
        return server.getPort();
    }
}
