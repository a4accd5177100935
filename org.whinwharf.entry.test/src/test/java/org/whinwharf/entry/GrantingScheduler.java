package org.whinwharf.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;
import org.whinwharf.wire.peer.PeerNetwork;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.PeerLimits;

/** Scheduler that answers each request at once: with a grant, or with the refusal that the test set. */
final class GrantingScheduler implements Service, PeerListener {
    private static final long GOOD_MILLIS = 1_000;

    final List<Finished> finished = new CopyOnWriteArrayList<>();
    volatile RefusalReason refusal;
    volatile boolean silent;
    private final List<Host> targets;
    private final PeerNetwork network;
    private final AtomicLong lastGrant = new AtomicLong();

    GrantingScheduler(Host self, List<Host> targets) {
        this.targets = targets;
        Hello hello = Hello.newBuilder()
                .setHost(self.getName())
                .setRole(Role.SCHEDULER)
                .setIncarnation(1)
                .setDataCentre(self.getDataCentre())
                .build();
        network = PeerNetwork.builder()
                .self(hello)
                .address(self.getAddress())
                .port(self.getEntry().getSchedulerPeer())
                .limits(PeerLimits.getDefaultInstance())
                .filter(new Everyone())
                .listener(this)
                .heartbeats(Heartbeat::getDefaultInstance)
                .call();
    }

    @Override
    public void start() {
        network.start();
    }

    @Override
    public void stop() {
        network.stop();
    }

    @Override
    public void linkUp(PeerLink link) {
        // Entries connect and speak first.
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        if (frame.hasFinished()) {
            finished.add(frame.getFinished());
        } else if (frame.hasEnqueue() && !silent) {
            link.send(answer(frame.getEnqueue()));
        }
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        // Nothing is kept for a link.
    }

    private Frame answer(Enqueue enqueue) {
        if (refusal != null) {
            return Frame.newBuilder()
                    .setRefusal(Refusal.newBuilder()
                            .setSlice(enqueue.getSlice())
                            .setRequest(enqueue.getRequest())
                            .setReason(refusal)
                            .setComeBackMillis(1_500))
                    .build();
        }
        Host target = targets.stream()
                .filter(host ->
                        host.getTarget().getService().equals(enqueue.getSlice().getService()))
                .findFirst()
                .orElseThrow();
        return Frame.newBuilder()
                .setGrant(Grant.newBuilder()
                        .setSlice(enqueue.getSlice())
                        .setRequest(enqueue.getRequest())
                        .setGrant(lastGrant.incrementAndGet())
                        .setTarget(target.getName())
                        .setAddress(target.getAddress())
                        .setPort(target.getTarget().getPort())
                        .setEchoMillis(enqueue.getSentAtMillis())
                        .setGoodMillis(GOOD_MILLIS))
                .build();
    }

    private static final class Everyone implements PeerFilter {
        @Override
        public boolean admitsAddress(String address) {
            return true;
        }

        @Override
        public boolean admits(Hello hello, String address) {
            return true;
        }
    }
}
