package org.whinwharf.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tells whether this process reaches targets at all, after it failed to reach one of them.
 *
 * <p>A process that receives nothing from any target while it fails to reach one learns nothing about that target: its
 * own network may be partitioned. It then tries two other targets, and is partitioned if it reaches neither.
 */
final class OwnReach {
    /** Number of other targets that are tried. */
    private static final int OTHER_TARGETS = 2;
    /** Connect timeout of these attempts: fifty round-trip times within a region. */
    private static final int CONNECT_TIMEOUT_MILLIS = 150;

    private final EventLoopGroup loop;
    private final TargetRegistry targets;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();

    OwnReach(EventLoopGroup loop, TargetRegistry targets) {
        this.loop = loop;
        this.targets = targets;
    }

    /**
     * Determines whether this process reaches other targets than one that it failed to reach.
     *
     * @param targetId id of the target that was not reached
     * @param sinceMillis monotonic time in milliseconds at which the failed attempt began
     * @param consumer receives true if another target was reached, or if there is no other one to compare with
     */
    void verify(String targetId, long sinceMillis, Consumer<Boolean> consumer) {
        if (targets.paths().partitioned()) {
            consumer.accept(false);
        } else if (targets.paths().reachedAnySince(sinceMillis)) {
            consumer.accept(true);
        } else {
            waiting.add(consumer);
            if (waiting.size() == 1) {
                tryOthers(targetId);
            }
        }
    }

    private void tryOthers(String targetId) {
        List<TargetEntry> others = targets.lastReached(targetId, OTHER_TARGETS);
        if (others.isEmpty()) {
            conclude(true);
            return;
        }
        Round round = new Round(others.size());
        others.forEach(other -> tryConnect(other, round::tried));
    }

    /** Attempts to reach several targets; one success is enough. */
    private final class Round {
        private int pendingCount;
        private boolean concluded;

        Round(int targetCount) {
            pendingCount = targetCount;
        }

        void tried(boolean reached) {
            pendingCount--;
            if (!concluded && (reached || pendingCount == 0)) {
                concluded = true;
                conclude(reached);
            }
        }
    }

    /** Connects to a target and closes the connection at once. */
    void tryConnect(TargetEntry entry, Consumer<Boolean> consumer) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(entry.state().target().ip(), entry.state().target().port())
                .addListener((ChannelFuture connected) -> {
                    connected.channel().close();
                    if (connected.isSuccess()) {
                        targets.reached(entry);
                    }
                    consumer.accept(connected.isSuccess());
                });
    }

    private void conclude(boolean reachesOthers) {
        if (!reachesOthers) {
            targets.paths().partition();
        }
        List<Consumer<Boolean>> consumers = List.copyOf(waiting);
        waiting.clear();
        consumers.forEach(consumer -> consumer.accept(reachesOthers));
    }
}
