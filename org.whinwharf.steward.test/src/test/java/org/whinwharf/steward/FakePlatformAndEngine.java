package org.whinwharf.steward;

import com.google.protobuf.ByteString;
import com.google.protobuf.util.JsonFormat;
import io.micronaut.context.ApplicationContext;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.runtime.server.EmbeddedServer;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.whinwharf.document.DocumentWriter;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.LoadedModel;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;

/** Fake platform and engine on one port. Tests publish host lists and documents, and read the accepted orders. */
final class FakePlatformAndEngine implements AutoCloseable {
    static final String ENVIRONMENT = "trial";

    private static final String KIND = "fake-platform-and-engine";
    private static final long ORDER_TIMEOUT_SECONDS = 20;

    private final ApplicationContext context;
    private final EmbeddedServer server;
    private final BlockingQueue<EngineOrder> orders = new LinkedBlockingQueue<>();
    private volatile byte[] document = new byte[0];
    private volatile long generation;
    private volatile HostList hosts = HostList.getDefaultInstance();
    private volatile EngineState state =
            EngineState.newBuilder().setStartNumber(1).build();

    FakePlatformAndEngine(String address) {
        Map<String, Object> properties = Map.of(
                AdminServer.SERVER_PROPERTY, KIND, "micronaut.server.host", address, "micronaut.server.port", -1);
        context = ApplicationContext.builder(properties).banner(false).build();
        context.registerSingleton(FakePlatformAndEngine.class, this);
        context.start();
        server = context.getBean(EmbeddedServer.class).start();
    }

    int port() {
        return server.getPort();
    }

    String url() {
        return "http://" + server.getHost() + ":" + server.getPort();
    }

    void publish(long revision, Host... publishedHosts) {
        hosts = HostList.newBuilder()
                .setRevision(revision)
                .addAllHosts(java.util.List.of(publishedHosts))
                .build();
    }

    void publish(long newGeneration, String version) {
        Document.Builder published = Document.newBuilder()
                .setGeneration(newGeneration)
                .setEnvironment(ENVIRONMENT)
                .addDataCentres(DataCentre.newBuilder()
                        .setName("martin-a")
                        .setRegion("sk-central")
                        .setInService(true))
                .addTiers(Tier.newBuilder().setName("driver").setRank(1))
                .addModels(Model.newBuilder().setName("lampa").setVersion(version))
                .addServices(ServiceSpec.newBuilder()
                        .setName("lampa-llm")
                        .setKind(ServiceKind.ENGINE)
                        .addModels("lampa")
                        .setChecksFencing(true))
                .addOrganisations(Organisation.newBuilder()
                        .setName("zber")
                        .addCredentials(Credential.newBuilder()
                                .setSha256128(ByteString.copyFrom(new byte[16]))
                                .setTier("driver")))
                .addSealingKeys(SealingKey.newBuilder().setId(1).setKey(ByteString.copyFrom(new byte[32])))
                .addDeployments(Deployment.newBuilder()
                        .setName("all")
                        .setService("lampa-llm")
                        .addModels("lampa"));
        document = DocumentWriter.compact(SchemaChecker.complete(published.build()));
        generation = newGeneration;
    }

    EngineOrder nextOrder() throws InterruptedException {
        EngineOrder order = orders.poll(ORDER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (order == null) {
            throw new AssertionError("no order within " + ORDER_TIMEOUT_SECONDS + " s");
        }
        return order;
    }

    int unreadOrders() {
        return orders.size();
    }

    @Override
    public void close() {
        context.close();
    }

    private synchronized boolean accept(EngineOrder order) {
        if (order.getFencingNumber() < state.getFencingNumber()) {
            return false;
        }
        state = state.toBuilder()
                .clearModels()
                .setFencingNumber(order.getFencingNumber())
                .addModels(
                        LoadedModel.newBuilder().setName(order.getLoadModel()).setVersion(order.getVersion()))
                .build();
        orders.add(order);
        return true;
    }

    /** HTTP routes of the platform and the engine. */
    @Controller
    @Requires(property = AdminServer.SERVER_PROPERTY, value = KIND)
    static final class Routes {
        private final FakePlatformAndEngine fake;

        Routes(FakePlatformAndEngine fake) {
            this.fake = fake;
        }

        @Get(value = "/v1/documents/{environment}", produces = MediaType.APPLICATION_OCTET_STREAM)
        HttpResponse<byte[]> document(@PathVariable String environment, @QueryValue long above) {
            return fake.generation > above ? HttpResponse.ok(fake.document) : HttpResponse.notModified();
        }

        @Get(value = "/v1/hosts", produces = MediaType.APPLICATION_JSON)
        HttpResponse<String> hosts(@QueryValue long after) throws IOException {
            return fake.hosts.getRevision() > after
                    ? HttpResponse.ok(JsonFormat.printer().print(fake.hosts))
                    : HttpResponse.notModified();
        }

        @Get(value = "/v1/state", produces = MediaType.APPLICATION_JSON)
        String state() throws IOException {
            return JsonFormat.printer().print(fake.state);
        }

        @Post(value = "/v1/orders", consumes = MediaType.APPLICATION_JSON)
        HttpResponse<String> order(@Body String json) throws IOException {
            EngineOrder.Builder order = EngineOrder.newBuilder();
            JsonFormat.parser().merge(json, order);
            return fake.accept(order.build()) ? HttpResponse.accepted() : HttpResponse.status(HttpStatus.CONFLICT);
        }
    }
}
