package org.whinwharf.scheduler;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.SchedulerConfiguration;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.command.WorkInFlight;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.runtime.node.NodeListener;
import org.whinwharf.scheduler.internal.LoadPoller;
import org.whinwharf.scheduler.internal.SchedulerLinks;
import org.whinwharf.scheduler.internal.SchedulerLoop;
import org.whinwharf.scheduler.internal.SchedulerMetrics;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.schema.SchedulerSettings;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TierQueue;

/** Scheduler process. One duty makes all decisions, another polls the load of the targets. */
public final class SchedulerDaemon implements Daemon {
    private static final int RING_SIZE = 16_384;
    private static final long TICK_MILLIS = 50;
    private static final long HOST_LIST_TIMEOUT_MILLIS = 10_000;

    private final Node node;
    private final Duty<Consumer<SchedulerLoop>> decisions;
    private final LoadPoller poller;
    private final SchedulerLoop loop;

    /**
     * Creates the process without opening a port.
     *
     * @param settings checked settings
     */
    public SchedulerDaemon(SchedulerSettings settings) {
        SchedulerLinks links = new SchedulerLinks(this::offer);
        node = Node.builder()
                .settings(settings.getNode())
                .role(Role.SCHEDULER)
                .listener(new ConfigurationListener())
                .peers(links)
                .listWaitMillis(HOST_LIST_TIMEOUT_MILLIS)
                .status(status -> status.addAllSlices(states()))
                .call();
        poller = new LoadPoller(settings.getLoadPollMillis(), node.ticker(), this::offer);
        PlacementStrategy placement = PlacementStrategy.fromSetting(settings.getPlacement());
        loop = new SchedulerLoop(node, links, poller, new SchedulerMetrics(node.registry()), placement);
        decisions = Duty.<Consumer<SchedulerLoop>>builder()
                .name("decisions")
                .handler(new DecisionHandler())
                .ringSize(RING_SIZE)
                .tickMillis(TICK_MILLIS)
                .call();
    }

    @Override
    public void start() {
        decisions.start();
        poller.start();
        node.start();
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        node.leave();
        offer(receiver -> receiver.leave(handedOver));
        return handedOver;
    }

    @Override
    public Optional<WorkInFlight> workInFlight() {
        int queued = states().stream()
                .flatMap(state -> state.getQueuesList().stream())
                .mapToInt(TierQueue::getWaiting)
                .sum();
        return Optional.of(new WorkInFlight(0, queued, 0, loop.slicesNotHandedOver()));
    }

    @Override
    public void stop() {
        poller.stop();
        node.stop();
        decisions.stop();
    }

    private boolean offer(Consumer<SchedulerLoop> event) {
        return decisions.offer(event);
    }

    private List<SliceState> states() {
        return loop == null ? List.of() : loop.states();
    }

    private final class DecisionHandler implements DutyHandler<Consumer<SchedulerLoop>> {
        @Override
        public void handle(Consumer<SchedulerLoop> event) {
            event.accept(loop);
        }

        @Override
        public void tick() {
            loop.tick();
        }
    }

    private final class ConfigurationListener implements NodeListener {
        @Override
        public void documentChanged(DocumentView document) {
            SchedulerConfiguration configuration =
                    SchedulerConfiguration.of(document.services(), document.tiers(), document.timing());
            offer(receiver -> receiver.documentChanged(configuration));
        }

        @Override
        public void membershipChanged(Membership membership) {
            offer(receiver -> receiver.membershipChanged(membership));
        }
    }
}
