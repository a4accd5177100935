package org.whinwharf.runtime.node;

import com.google.protobuf.util.JsonFormat;
import io.micronaut.context.ApplicationContext;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.runtime.server.EmbeddedServer;
import java.io.IOException;
import java.util.Map;
import org.whinwharf.runtime.TestFleet;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.wire.schema.HostList;

/** Platform of a test: publishes what it is told, and can be down. Holds no answer back. */
final class FakePlatform implements AutoCloseable {
    private static final String KIND = "fake-platform";

    private final ApplicationContext context;
    private final EmbeddedServer server;
    private volatile long generation;
    private volatile boolean documentsDown;
    private volatile HostList hosts = HostList.getDefaultInstance();

    FakePlatform(String address) {
        Map<String, Object> properties = Map.of(
                AdminServer.SERVER_PROPERTY, KIND, "micronaut.server.host", address, "micronaut.server.port", -1);
        context = ApplicationContext.builder(properties).banner(false).build();
        context.registerSingleton(FakePlatform.class, this);
        context.start();
        server = context.getBean(EmbeddedServer.class).start();
    }

    String url() {
        return "http://" + server.getHost() + ":" + server.getPort();
    }

    void publish(long newGeneration) {
        generation = newGeneration;
    }

    void publish(HostList list) {
        hosts = list;
    }

    void documentsDown(boolean down) {
        documentsDown = down;
    }

    @Override
    public void close() {
        context.close();
    }

    /** Routes of the fake. */
    @Controller
    @Requires(property = AdminServer.SERVER_PROPERTY, value = KIND)
    static final class Routes {
        private final FakePlatform platform;

        Routes(FakePlatform platform) {
            this.platform = platform;
        }

        @Get(value = "/v1/documents/{environment}", produces = MediaType.APPLICATION_OCTET_STREAM)
        HttpResponse<byte[]> document(@PathVariable String environment, @QueryValue long above) {
            if (platform.documentsDown) {
                return HttpResponse.status(HttpStatus.SERVICE_UNAVAILABLE);
            }
            return platform.generation > above
                    ? HttpResponse.ok(TestFleet.document(platform.generation))
                    : HttpResponse.notModified();
        }

        @Get(value = "/v1/hosts", produces = MediaType.APPLICATION_JSON)
        HttpResponse<String> hosts(@QueryValue long after) throws IOException {
            return platform.hosts.getRevision() > after
                    ? HttpResponse.ok(JsonFormat.printer().print(platform.hosts))
                    : HttpResponse.notModified();
        }
    }
}
