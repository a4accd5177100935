package org.whinwharf.wire.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerEvent;
import org.whinwharf.wire.peer.PeerNetwork;

/** Leads one connection from hello to its end. */
public final class LinkHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(LinkHandler.class);

    private final LinkContext shared;
    private final FrameDecoder decoder;
    private final PeerAddress called;
    private final Runnable onUp;
    private Link link;
    private ScheduledFuture<?> heartbeat;
    private String reason = "closed by the other side";

    /**
     * Makes the handler of one connection.
     *
     * @param shared what all links share
     * @param decoder decoder of the same connection
     * @param called the peer that this process called; null when the other side called
     * @param onUp is run once when the link comes up
     */
    public LinkHandler(LinkContext shared, FrameDecoder decoder, PeerAddress called, Runnable onUp) {
        this.shared = shared;
        this.decoder = decoder;
        this.called = called;
        this.onUp = onUp;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (called != null) {
            sendHello(context);
        }
        context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (isClosing(context)) {
            return;
        }
        if (link == null) {
            receiveFirst(context, frame);
        } else if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET || frame.hasHello()) {
            close(context, PeerEvent.UNKNOWN_FRAME, "frame of unknown kind");
        } else {
            shared.listener().received(link, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeat != null) {
            heartbeat.cancel(false);
        }
        if (link != null) {
            shared.counters().add(PeerEvent.LINK_DOWN);
            shared.listener().linkDown(link, link.closeReason(reason));
        }
        context.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            // A host that vanishes sends no end of stream; only its silence shows that the link is dead.
            close(context, PeerEvent.IDLE, "nothing heard in time");
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        close(context, kindOf(failure), String.valueOf(failure.getMessage()));
    }

    /** Closes the connection when its peer is admitted no more; called by the connection's thread. */
    void recheck() {
        if (link == null || !link.channel().isActive()) {
            return;
        }
        if (!shared.filter().admits(link.peer(), addressOf(link.channel()))) {
            shared.counters().add(PeerEvent.UNLISTED);
            link.close("no longer in the host list");
        }
    }

    private void receiveFirst(ChannelHandlerContext context, Frame frame) {
        if (!frame.hasHello()) {
            close(context, PeerEvent.UNKNOWN_FRAME, "first frame is no hello");
            return;
        }
        Hello hello = frame.getHello();
        if (hello.getProtocol() != PeerNetwork.PROTOCOL_VERSION) {
            close(context, PeerEvent.PROTOCOL_MISMATCH, "protocol " + hello.getProtocol());
        } else if (!isCalled(hello)) {
            close(context, PeerEvent.WRONG_PEER, "answered by " + hello.getHost() + "/" + hello.getRole());
        } else if (!shared.filter().admits(hello, addressOf(context.channel()))) {
            close(context, PeerEvent.UNLISTED, "not in the host list");
        } else {
            bringUp(context, hello);
        }
    }

    private boolean isCalled(Hello hello) {
        return called == null || (hello.getHost().equals(called.host()) && hello.getRole() == called.role());
    }

    private void bringUp(ChannelHandlerContext context, Hello hello) {
        if (called == null) {
            // Said only now: a caller that hears hello knows that it was accepted, and its backoff starts anew.
            sendHello(context);
        }
        decoder.allow(shared.limits().maxFrameBytes());
        link = new Link(context.channel(), hello, shared);
        shared.counters().add(PeerEvent.LINK_UP);
        onUp.run();
        shared.listener().linkUp(link);
        long periodMillis = shared.limits().heartbeatMillis();
        heartbeat = context.executor().scheduleAtFixedRate(this::beat, 0, periodMillis, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        link.send(Frame.newBuilder().setHeartbeat(shared.heartbeats().get()).build());
    }

    private void sendHello(ChannelHandlerContext context) {
        Frame frame = Frame.newBuilder().setHello(shared.self()).build();
        context.writeAndFlush(FrameEncoder.encode(context.alloc(), frame));
    }

    private static boolean isClosing(ChannelHandlerContext context) {
        return !context.channel().isActive();
    }

    private void close(ChannelHandlerContext context, PeerEvent kind, String detail) {
        if (!context.channel().isActive()) {
            return;
        }
        shared.counters().add(kind);
        reason = kind.metricName() + ": " + detail;
        LOG.info("connection with {} closed, {}", context.channel().remoteAddress(), reason);
        context.close();
    }

    private static PeerEvent kindOf(Throwable failure) {
        if (failure instanceof TooLongFrameException) {
            return PeerEvent.OVERSIZED;
        }
        return failure instanceof DecoderException ? PeerEvent.MALFORMED : PeerEvent.LINK_FAILED;
    }

    static String addressOf(Channel channel) {
        if (channel.remoteAddress() instanceof InetSocketAddress remote) {
            return remote.getAddress().getHostAddress();
        }
        return String.valueOf(channel.remoteAddress());
    }
}
