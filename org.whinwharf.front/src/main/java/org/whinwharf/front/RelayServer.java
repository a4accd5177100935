package org.whinwharf.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.fleet.RelayOpen;
import org.whinwharf.wire.fleet.RelayOpened;
import org.whinwharf.wire.fleet.RelayOutcome;

/**
 * Connects peers to targets that they cannot reach themselves.
 *
 * <p>Passes on bytes in both directions and knows nothing of the requests among them: admission, quotas, deadlines and
 * retries stay with the process that received the request. A connection that is relayed for a peer is always direct, so
 * there is one hop at most.
 */
final class RelayServer {
    /** Maximum number of relay connections; their write buffers may then hold a sixth of this process's memory. */
    static final int MAX_CONNECTIONS = 256;
    /** Maximum number of connections of which a log event of their own tells that they are cut. */
    private static final int MAX_LOGGED_CONNECTIONS = 32;
    /** Connect timeout to the target, within the time for which a peer waits for the answer. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    /** Limits on the bytes queued for a slow side; above the high one, reading from the other side is suspended. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(8 * 1_024, 32 * 1_024);

    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final TargetRegistry targets;
    private final OwnReach ownReach;
    private final Set<PeerSide> openSides = new LinkedHashSet<>();
    private Channel server;
    private boolean leaving;

    RelayServer(EventLoopGroup loop, Ticker ticker, TargetRegistry targets, OwnReach ownReach) {
        this.loop = loop;
        this.ticker = ticker;
        this.targets = targets;
        this.ownReach = ownReach;
    }

    /** Starts to accept relay connections of peers. */
    void start(String ip, int port) {
        server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(RelayFrame.decoder()).addLast(new PeerSide());
                    }
                })
                .bind(ip, port)
                .syncUninterruptibly()
                .channel();
    }

    /** Refuses further connections, since this process ends and would cut them; those that are open stay. */
    void leave() {
        leaving = true;
    }

    /** Logs the open connections, which the end of this process cuts. */
    void logOpen() {
        long nowMillis = ticker.nowMillis();
        openSides.stream()
                .limit(MAX_LOGGED_CONNECTIONS)
                .forEach(side -> FrontLog.relayCut(
                        side.from,
                        side.targetId,
                        nowMillis - side.openedAtMillis,
                        side.receivedBytes,
                        openSides.size() - 1));
    }

    /** Returns the number of open relay connections. */
    int connectionCount() {
        return openSides.size();
    }

    /** Side of a relay connection towards the peer. */
    private final class PeerSide extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;
        private Channel target;
        private String from = "";
        private String targetId = "";
        private long openedAtMillis;
        private long receivedBytes;

        @Override
        public void handlerAdded(ChannelHandlerContext addedContext) {
            context = addedContext;
        }

        @Override
        public void channelRead(ChannelHandlerContext readContext, Object message) throws Exception {
            ByteBuf frame = (ByteBuf) message;
            boolean passedOn = false;
            try {
                RelayFrame kind = RelayFrame.readKind(frame);
                if (kind == RelayFrame.OPEN && openedAtMillis == 0) {
                    open(RelayOpen.parseFrom(frame.nioBuffer()));
                } else if (kind == RelayFrame.DATA && target != null) {
                    passedOn = true;
                    receivedBytes += frame.readableBytes();
                    target.write(frame);
                } else {
                    context.close();
                }
            } finally {
                if (!passedOn) {
                    ReferenceCountUtil.release(frame);
                }
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext readContext) {
            if (target != null) {
                target.flush();
            }
        }

        private void open(RelayOpen request) {
            openedAtMillis = ticker.nowMillis();
            from = request.getFrom();
            targetId = request.getTarget();
            TargetEntry entry = targets.entry(targetId);
            if (leaving || openSides.size() >= MAX_CONNECTIONS) {
                refuse(RelayOutcome.RELAY_REFUSED);
            } else if (entry == null || targets.isOut(entry) || targets.paths().needsRelay(targetId)) {
                refuse(RelayOutcome.RELAY_NO_PATH);
            } else {
                connect(entry);
            }
        }

        private void connect(TargetEntry entry) {
            openSides.add(this);
            new Bootstrap()
                    .group(context.channel().eventLoop())
                    .channelFactory(TargetSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                    .handler(new TargetSide(context, () -> receivedBytes))
                    .connect(entry.state().target().ip(), entry.state().target().port())
                    .addListener((ChannelFuture connected) -> {
                        long tookMillis = ticker.nowMillis() - openedAtMillis;
                        targets.connectAttempted(targetId, connected.isSuccess(), tookMillis);
                        if (connected.isSuccess()) {
                            opened(connected.channel());
                        } else {
                            ownReach.verify(
                                    targetId,
                                    openedAtMillis,
                                    reachesOthers -> refuse(
                                            reachesOthers
                                                    ? RelayOutcome.RELAY_TARGET_UNREACHABLE
                                                    : RelayOutcome.RELAY_NO_PATH));
                        }
                    });
        }

        private void opened(Channel connected) {
            if (!context.channel().isActive()) {
                connected.close();
                return;
            }
            target = connected;
            answer(RelayOutcome.RELAY_OPENED);
        }

        private void refuse(RelayOutcome outcome) {
            answer(outcome);
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        private void answer(RelayOutcome outcome) {
            FrontLog.relayAnswered(from, targetId, outcome, ticker.nowMillis() - openedAtMillis);
            RelayFrame.OPENED.write(
                    context, RelayOpened.newBuilder().setOutcome(outcome).build());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext changedContext) {
            if (target != null) {
                target.config().setAutoRead(changedContext.channel().isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext inactiveContext) {
            openSides.remove(this);
            if (target != null) {
                target.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
            failedContext.close();
        }
    }

    /** Side of a relay connection towards the target. */
    private static final class TargetSide extends ChannelInboundHandlerAdapter {
        private final ChannelHandlerContext peer;
        private final LongSupplier receivedBytes;
        /** Whether the peer was told of the end. */
        private boolean ended;

        TargetSide(ChannelHandlerContext peer, LongSupplier receivedBytes) {
            this.peer = peer;
            this.receivedBytes = receivedBytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            RelayFrame.writeData(peer, (ByteBuf) message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            peer.flush();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                endOfInput((TargetSocketChannel) context.channel());
            }
        }

        /** Reports the end of the target's side, unless the target cannot have read all that was sent to it. */
        private void endOfInput(TargetSocketChannel target) {
            if (target.unsafe().outboundBuffer().totalPendingWriteBytes() > 0) {
                target.close();
                return;
            }
            long sentBytes = receivedBytes.getAsLong();
            target.checkReset(reset -> {
                if (reset) {
                    target.close();
                } else {
                    ended = true;
                    RelayFrame.writeEnd(peer, sentBytes);
                }
            });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            peer.channel().config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!ended && peer.channel().isActive()) {
                RelayFrame.FAILED.write(peer).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
