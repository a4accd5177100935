package org.whinwharf.pgm;

import io.micronaut.context.ApplicationContext;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** HTTP server on loopback whose answers a test chooses, and which remembers what it was asked. */
final class FakeServer implements AutoCloseable {
    private static final String PROPERTY = "whinwharf.pgm.fake";

    private final List<String> asked = Collections.synchronizedList(new ArrayList<>());
    private final ApplicationContext context;
    private final EmbeddedServer server;

    FakeServer(Function<String, Reply> answers) {
        context = ApplicationContext.builder(Map.of(
                        PROPERTY,
                        true,
                        "micronaut.server.host",
                        "127.0.0.1",
                        "micronaut.server.port",
                        -1,
                        "micronaut.netty.event-loops.default.num-threads",
                        1,
                        "micronaut.server.netty.parent.shutdown-quiet-period",
                        "1ms"))
                .banner(false)
                .build();
        context.registerSingleton(Answers.class, request -> {
            asked.add(request);
            return answers.apply(request);
        });
        context.start();
        server = context.getBean(EmbeddedServer.class).start();
    }

    int port() {
        return server.getPort();
    }

    String url() {
        return "http://127.0.0.1:" + port();
    }

    List<String> asked() {
        return List.copyOf(asked);
    }

    @Override
    public void close() {
        context.close();
    }

    record Reply(int status, String type, String body) {
        static Reply json(String body) {
            return new Reply(200, MediaType.APPLICATION_JSON, body);
        }

        static Reply events(String body) {
            return new Reply(200, MediaType.TEXT_EVENT_STREAM, body);
        }

        static Reply status(int status, String body) {
            return new Reply(status, MediaType.APPLICATION_JSON, body);
        }
    }

    @FunctionalInterface
    interface Answers {
        Reply to(String request);
    }

    @Controller
    @Requires(property = PROPERTY)
    static final class Routes {
        private final Answers answers;

        Routes(Answers answers) {
            this.answers = answers;
        }

        @Get("/{+path}")
        @Produces(MediaType.ALL)
        HttpResponse<String> get(HttpRequest<?> request) {
            return reply("GET " + request.getUri());
        }

        @Post("/{+path}")
        @Consumes(MediaType.ALL)
        @Produces(MediaType.ALL)
        HttpResponse<String> post(HttpRequest<?> request, @Body String body) {
            return reply("POST " + request.getUri() + " " + body);
        }

        private HttpResponse<String> reply(String request) {
            Reply reply = answers.to(request);
            return HttpResponse.<String>status(reply.status(), "")
                    .contentType(reply.type())
                    .body(reply.body());
        }
    }
}
