package org.whinwharf.steward;

import java.util.concurrent.CompletableFuture;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.runtime.node.NodeListener;
import org.whinwharf.steward.internal.ActionExecutor;
import org.whinwharf.steward.internal.EngineClient;
import org.whinwharf.steward.internal.StewardMetrics;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.schema.StewardSettings;

/** Daemon that sends orders to the engines whose steward is this host. */
public final class StewardDaemon implements Daemon {
    private static final int RING_SIZE = 1_024;
    private static final long TICK_MILLIS = 50;
    private static final long LIST_WAIT_MILLIS = 1_500;

    private final Node node;
    private final EngineClient engines;
    private final ActionExecutor executor;
    private final Duty<Runnable> duty;

    /**
     * Creates a steward. Opens no ports before {@link #start}.
     *
     * @param settings validated settings
     */
    public StewardDaemon(StewardSettings settings) {
        node = Node.builder()
                .settings(settings.getNode())
                .role(Role.STEWARD)
                .listWaitMillis(LIST_WAIT_MILLIS)
                .listener(new NodeChangeListener())
                .status(status -> status.addAllEngines(executor().status()))
                .call();
        engines = new EngineClient(settings.getOrderMillis());
        StewardMetrics metrics = new StewardMetrics(node.registry());
        executor = new ActionExecutor(settings, node, engines, metrics, this::submit);
        metrics.bindEngineStates(() -> executor().status());
        duty = Duty.<Runnable>builder()
                .name("orders")
                .handler(new WorkHandler())
                .ringSize(RING_SIZE)
                .tickMillis(TICK_MILLIS)
                .call();
    }

    @Override
    public void start() {
        duty.start();
        node.start();
    }

    @Override
    public CompletableFuture<Void> leave() {
        node.leave();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        submit(() -> executor.leave(drained));
        return drained;
    }

    @Override
    public void stop() {
        node.stop();
        duty.stop();
        engines.stop();
    }

    /**
     * Returns the port of the admin server. Call it only after {@link #start}.
     *
     * @return TCP port
     */
    public int adminPort() {
        return node.adminPort();
    }

    private ActionExecutor executor() {
        return executor;
    }

    private void submit(Runnable work) {
        duty.offer(work);
    }

    private final class WorkHandler implements DutyHandler<Runnable> {
        @Override
        public void handle(Runnable work) {
            work.run();
        }

        @Override
        public void tick() {
            executor.tick();
        }
    }

    private final class NodeChangeListener implements NodeListener {
        @Override
        public void documentChanged(DocumentView document) {
            submit(executor()::update);
        }

        @Override
        public void membershipChanged(Membership membership) {
            submit(executor()::update);
        }
    }
}
