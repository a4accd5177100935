package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.whinwharf.wire.fleet.RelayOpen;
import org.whinwharf.wire.fleet.RelayOpened;
import org.whinwharf.wire.fleet.RelayOutcome;

/**
 * Asking side of a relay connection: makes a connection through a peer look like one to the target.
 *
 * <p>Nothing is sent to the target before the peer has reported that the connection stands, so a request whose relay
 * connection is not opened was not executed.
 */
final class RelayLink extends ChannelDuplexHandler implements TargetLink {
    private final String peerName;
    private final RelayOpen open;
    private final BooleanSupplier peerUsable;
    private Consumer<RelayOutcome> openListener;
    private ChannelHandlerContext context;
    private long writtenBytes;
    private boolean targetEnded;
    private boolean targetFailed;

    /**
     * Creates the handler of one relay connection.
     *
     * @param peerName name of the relaying process
     * @param open request to the peer
     * @param peerUsable tells whether the peer still relays
     * @param openListener receives the peer's answer, at most once; a connection that is closed before gives none
     */
    RelayLink(String peerName, RelayOpen open, BooleanSupplier peerUsable, Consumer<RelayOutcome> openListener) {
        this.peerName = peerName;
        this.open = open;
        this.peerUsable = peerUsable;
        this.openListener = openListener;
    }

    @Override
    public void channelActive(ChannelHandlerContext activeContext) throws Exception {
        context = activeContext;
        RelayFrame.OPEN.write(activeContext, open);
        super.channelActive(activeContext);
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) throws Exception {
        ByteBuf frame = (ByteBuf) message;
        RelayFrame kind = RelayFrame.readKind(frame);
        if (kind == RelayFrame.DATA) {
            readContext.fireChannelRead(frame);
            return;
        }
        try {
            handleControl(readContext, kind, frame);
        } finally {
            ReferenceCountUtil.release(frame);
        }
    }

    private void handleControl(ChannelHandlerContext readContext, RelayFrame kind, ByteBuf frame) throws Exception {
        switch (kind) {
            case OPENED -> {
                Consumer<RelayOutcome> listener = openListener;
                openListener = null;
                if (listener != null) {
                    listener.accept(RelayOpened.parseFrom(frame.nioBuffer()).getOutcome());
                }
            }
            case END -> end(readContext, frame);
            case FAILED -> {
                targetFailed = true;
                readContext.close();
            }
            default -> readContext.close();
        }
    }

    /** Handles the end of the target's side; before all written bytes were sent to the target, it is a failure. */
    private void end(ChannelHandlerContext readContext, ByteBuf content) {
        if (RelayFrame.endedAfter(content, writtenBytes)) {
            targetEnded = true;
            readContext.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        } else {
            targetFailed = true;
            readContext.close();
        }
    }

    @Override
    public void write(ChannelHandlerContext writeContext, Object message, ChannelPromise promise) {
        ByteBuf bytes = (ByteBuf) message;
        writtenBytes += bytes.readableBytes();
        RelayFrame.writeData(writeContext, bytes).addListener(written -> {
            if (written.isSuccess()) {
                promise.trySuccess();
            } else {
                promise.tryFailure(written.cause());
            }
        });
    }

    @Override
    public boolean inputEnded() {
        return targetEnded || !context.channel().isActive();
    }

    @Override
    public boolean usable() {
        return peerUsable.getAsBoolean();
    }

    @Override
    public TargetFailure lossCause() {
        return targetFailed ? TargetFailure.RESET : TargetFailure.RELAY_LOST;
    }

    /** Knows the result: the peer reports an end only after it has checked it. */
    @Override
    public void checkReset(Consumer<Boolean> consumer) {
        consumer.accept(targetFailed);
    }

    @Override
    public String peerName() {
        return peerName;
    }
}
