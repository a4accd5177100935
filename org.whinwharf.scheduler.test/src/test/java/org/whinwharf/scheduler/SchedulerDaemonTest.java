package org.whinwharf.scheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinwharf.document.DocumentWriter;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.standin.LoopbackNetwork;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;
import org.whinwharf.wire.peer.PeerNetwork;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.Limits;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.Organisation;
import org.whinwharf.wire.schema.PeerLimits;
import org.whinwharf.wire.schema.SchedulerSettings;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.TargetInfo;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

class SchedulerDaemonTest {
    private static final String ADDRESS = LoopbackNetwork.next().address(1);
    private static final long TIMEOUT_SECONDS = 30;
    private static final int MAX_ATTEMPTS = 300;
    private static final long ATTEMPT_INTERVAL_MILLIS = 100;
    private static final long HANDOVER_POLL_MILLIS = 10;
    private static final SliceId SLICE =
            SliceId.newBuilder().setService("llm").setDataCentre("a").build();

    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();
    private final List<Frame> pendingFrames = new ArrayList<>();
    private final CompletableFuture<PeerLink> linked = new CompletableFuture<>();

    // The host is replaced while one request holds a grant and another waits. The waiting request must move on
    // immediately, and the process must not stop before the grant can certainly no longer be used.
    @Test
    void grantsOverARealLinkAndHandsOverWhenItLeaves() throws Exception {
        int schedulerPort = freePort();
        try (FakePlatform platform = new FakePlatform(ADDRESS)) {
            platform.publish(document(), hosts(schedulerPort, platform.port()));
            SchedulerDaemon daemon = new SchedulerDaemon(settings(platform.url(), schedulerPort));
            PeerNetwork entry = entry();
            try {
                daemon.start();
                entry.start();
                entry.connect(new PeerAddress("s0", Role.SCHEDULER, ADDRESS, schedulerPort));
                PeerLink link = linked.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                enqueueUntilAnswered(link);
                Grant grant = next(Frame.BodyCase.GRANT).getGrant();
                assertThat(grant.getPort(), is(platform.port()));
                enqueue(link, 2);
                CompletableFuture<Void> left = daemon.leave();
                assertThat(next(Frame.BodyCase.REFUSAL).getRefusal().getReason(), is(RefusalReason.OWNER_LEAVING));
                assertThat(next(Frame.BodyCase.RECALL).getRecall().getGrant(), is(grant.getGrant()));
                awaitSlicesNotHandedOver(daemon, List.of("llm/a/0"));
                link.send(unused(grant));
                left.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                awaitSlicesNotHandedOver(daemon, List.of());
            } finally {
                entry.stop();
                daemon.stop();
            }
        }
    }

    // A stop that times out must be able to say which slice keeps it.
    private static void awaitSlicesNotHandedOver(SchedulerDaemon daemon, List<String> slices)
            throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !slices(daemon).equals(slices); attempt++) {
            TimeUnit.MILLISECONDS.sleep(HANDOVER_POLL_MILLIS);
        }
        assertThat(slices(daemon), is(slices));
    }

    private static List<String> slices(SchedulerDaemon daemon) {
        return daemon.workInFlight().orElseThrow().slices();
    }

    // Until it has its first host list and document, the scheduler drops frames because it cannot tell which slices
    // it owns.
    private void enqueueUntilAnswered(PeerLink link) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS && received.isEmpty(); attempt++) {
            enqueue(link, 1);
            TimeUnit.MILLISECONDS.sleep(ATTEMPT_INTERVAL_MILLIS);
        }
    }

    private static void enqueue(PeerLink link, long request) {
        link.send(Frame.newBuilder()
                .setEnqueue(Enqueue.newBuilder()
                        .setSlice(SLICE)
                        .setRequest(request)
                        .setOrganisation("o")
                        .setAnswerTokens(10)
                        .setLeftMillis(60_000)
                        .setSentAtMillis(now()))
                .build());
    }

    private static Frame unused(Grant grant) {
        return Frame.newBuilder()
                .setFinished(Finished.newBuilder()
                        .setSlice(SLICE)
                        .setRequest(grant.getRequest())
                        .setGrant(grant.getGrant())
                        .setTarget(grant.getTarget())
                        .setKind(FinishKind.UNUSED))
                .build();
    }

    // The stop and the second request reach the scheduler by different paths, so the responses may arrive in either
    // order.
    private Frame next(Frame.BodyCase kind) throws InterruptedException {
        while (pendingFrames.stream().noneMatch(frame -> frame.getBodyCase() == kind)) {
            Frame frame = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat("no " + kind, frame != null, is(true));
            pendingFrames.add(frame);
        }
        Frame found = pendingFrames.stream()
                .filter(frame -> frame.getBodyCase() == kind)
                .findFirst()
                .orElseThrow();
        pendingFrames.remove(found);
        return found;
    }

    private PeerNetwork entry() {
        return PeerNetwork.builder()
                .self(Hello.newBuilder()
                        .setHost("s0")
                        .setRole(Role.ENTRY)
                        .setIncarnation(1)
                        .setDataCentre("a")
                        .build())
                .address(ADDRESS)
                .port(freePort())
                .limits(SchemaChecker.complete(PeerLimits.getDefaultInstance()))
                .filter(new AllowAllFilter())
                .listener(new Listener())
                .heartbeats(() -> Heartbeat.newBuilder().setSentAtMillis(now()).build())
                .call();
    }

    private static SchedulerSettings settings(String platformUrl, int peerPort) {
        return SchemaChecker.complete(SchedulerSettings.newBuilder()
                .setLoadPollMillis(100)
                .setNode(NodeSettings.newBuilder()
                        .setHost("s0")
                        .setDataCentre("a")
                        .setAddress(ADDRESS)
                        .setEnvironment("trial")
                        .setConfigurationUrl(platformUrl)
                        .setHostListUrl(platformUrl)
                        .setAdminPort(freePort())
                        .setPeerPort(peerPort))
                .build());
    }

    private static HostList hosts(int schedulerPort, int targetPort) {
        Host.Builder host = Host.newBuilder()
                .setName("s0")
                .setAddress(ADDRESS)
                .setDataCentre("a")
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.newBuilder().setSchedulerPeer(schedulerPort));
        Host.Builder target = Host.newBuilder()
                .setName("t0")
                .setAddress(ADDRESS)
                .setDataCentre("a")
                .setState(HostState.LIVE)
                .setTarget(TargetInfo.newBuilder().setService("llm").setPort(targetPort));
        return HostList.newBuilder()
                .setRevision(1)
                .addHosts(host)
                .addHosts(target)
                .build();
    }

    private static byte[] document() {
        Document document = Document.newBuilder()
                .setGeneration(1)
                .setEnvironment("trial")
                .addDataCentres(DataCentre.newBuilder().setName("a").setRegion("r"))
                .addTiers(Tier.newBuilder().setName("only").setRank(0))
                .addModels(Model.newBuilder().setName("m").setVersion("1"))
                .addServices(ServiceSpec.newBuilder()
                        .setName("llm")
                        .setKind(ServiceKind.ENGINE)
                        .addModels("m")
                        .setLimits(Limits.newBuilder().setCold(1)))
                .addOrganisations(Organisation.newBuilder()
                        .setName("o")
                        .addCredentials(Credential.newBuilder()
                                .setSha256128(ByteString.copyFrom(new byte[16]))
                                .setTier("only")))
                .addSealingKeys(SealingKey.newBuilder().setId(1).setKey(ByteString.copyFrom(new byte[32])))
                .setTiming(Timing.newBuilder()
                        .setGrantMillis(4_000)
                        .setPledgeMillis(300)
                        .setListLagMillis(100)
                        .setLoadLagMillis(100))
                .build();
        return DocumentWriter.compact(SchemaChecker.complete(document));
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class AllowAllFilter implements PeerFilter {
        @Override
        public boolean admitsAddress(String address) {
            return true;
        }

        @Override
        public boolean admits(Hello hello, String address) {
            return true;
        }
    }

    private final class Listener implements PeerListener {
        @Override
        public void linkUp(PeerLink link) {
            linked.complete(link);
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            if (!frame.hasHeartbeat() && !frame.hasSliceStatus()) {
                received.add(frame);
            }
        }

        @Override
        public void linkDown(PeerLink link, String reason) {
            // A closed link makes the test time out while it waits for frames.
        }
    }
}
