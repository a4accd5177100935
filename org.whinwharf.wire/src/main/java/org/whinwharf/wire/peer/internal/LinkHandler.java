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

/** Handles one connection: hello handshake, received frames, heartbeats and closing. */
public final class LinkHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(LinkHandler.class);

    private final LinkContext linkContext;
    private final FrameDecoder decoder;
    private final PeerAddress expectedPeer;
    private final Runnable onLinkUp;
    private Link link;
    private ScheduledFuture<?> heartbeat;
    private String reason = "closed by the remote process";

    /**
     * Creates the handler of one connection.
     *
     * @param linkContext state that all links share
     * @param decoder decoder of the same connection
     * @param expectedPeer peer that this process connected to; null for an inbound connection
     * @param onLinkUp runs once when the link comes up
     */
    public LinkHandler(LinkContext linkContext, FrameDecoder decoder, PeerAddress expectedPeer, Runnable onLinkUp) {
        this.linkContext = linkContext;
        this.decoder = decoder;
        this.expectedPeer = expectedPeer;
        this.onLinkUp = onLinkUp;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (expectedPeer != null) {
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
            receiveHello(context, frame);
        } else if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET || frame.hasHello()) {
            close(context, PeerEvent.UNKNOWN_FRAME, "frame of unknown kind");
        } else {
            linkContext.listener().received(link, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeat != null) {
            heartbeat.cancel(false);
        }
        if (link != null) {
            linkContext.counters().add(PeerEvent.LINK_DOWN);
            linkContext.listener().linkDown(link, link.closeReason(reason));
        }
        context.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            // A host that fails sends no end of stream; only the idle timeout shows that the link is dead.
            close(context, PeerEvent.IDLE, "no frame received within the idle timeout");
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        close(context, eventOf(failure), String.valueOf(failure.getMessage()));
    }

    /** Closes the connection if the filter no longer admits its peer. Called by the connection's event loop. */
    void recheck() {
        if (link == null || !link.channel().isActive()) {
            return;
        }
        if (!linkContext.filter().admits(link.peer(), addressOf(link.channel()))) {
            linkContext.counters().add(PeerEvent.UNLISTED);
            link.close("no longer in the host list");
        }
    }

    private void receiveHello(ChannelHandlerContext context, Frame frame) {
        if (!frame.hasHello()) {
            close(context, PeerEvent.UNKNOWN_FRAME, "first frame is not a hello");
            return;
        }
        Hello hello = frame.getHello();
        if (hello.getProtocol() != PeerNetwork.PROTOCOL_VERSION) {
            close(context, PeerEvent.PROTOCOL_MISMATCH, "remote protocol version " + hello.getProtocol());
        } else if (!isExpectedPeer(hello)) {
            close(context, PeerEvent.WRONG_PEER, "answered by " + hello.getHost() + "/" + hello.getRole());
        } else if (!linkContext.filter().admits(hello, addressOf(context.channel()))) {
            close(context, PeerEvent.UNLISTED, "not in the host list");
        } else {
            establishLink(context, hello);
        }
    }

    private boolean isExpectedPeer(Hello hello) {
        return expectedPeer == null
                || (hello.getHost().equals(expectedPeer.host()) && hello.getRole() == expectedPeer.role());
    }

    private void establishLink(ChannelHandlerContext context, Hello hello) {
        if (expectedPeer == null) {
            // Sent only after acceptance: this hello tells the connecting process that it was accepted, so that it
            // resets its backoff.
            sendHello(context);
        }
        decoder.setMaxFrameBytes(linkContext.limits().maxFrameBytes());
        link = new Link(context.channel(), hello, linkContext);
        linkContext.counters().add(PeerEvent.LINK_UP);
        onLinkUp.run();
        linkContext.listener().linkUp(link);
        long intervalMillis = linkContext.limits().heartbeatIntervalMillis();
        heartbeat =
                context.executor().scheduleAtFixedRate(this::sendHeartbeat, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeat() {
        link.send(
                Frame.newBuilder().setHeartbeat(linkContext.heartbeats().get()).build());
    }

    private void sendHello(ChannelHandlerContext context) {
        Frame frame = Frame.newBuilder().setHello(linkContext.self()).build();
        context.writeAndFlush(FrameEncoder.encode(context.alloc(), frame));
    }

    private static boolean isClosing(ChannelHandlerContext context) {
        return !context.channel().isActive();
    }

    private void close(ChannelHandlerContext context, PeerEvent event, String detail) {
        if (!context.channel().isActive()) {
            return;
        }
        linkContext.counters().add(event);
        reason = event.metricName() + ": " + detail;
        LOG.info("connection with {} closed, {}", context.channel().remoteAddress(), reason);
        context.close();
    }

    private static PeerEvent eventOf(Throwable failure) {
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
