package org.whinwharf.entry.internal;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection on which nothing happens, or whose request does not arrive whole in time.
 *
 * <p>A caller that waits for its answer is not idle: its request may wait for a slot, or the engine may read a long
 * prompt, for longer than the bound. A plain idle timeout would cut it off and cancel its work.
 */
final class IdleGuard extends ChannelDuplexHandler {
    private final long idleMillis;
    private final Exchanges exchanges;
    private int awaited;
    private Future<?> receiving;

    IdleGuard(long idleMillis, Exchanges exchanges) {
        this.idleMillis = idleMillis;
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest) {
            // Counted from the head on: the server may answer before it has read the end of the request.
            awaited++;
            exchanges.began();
            // A sender that drips a byte now and then is never idle, yet holds a connection for ever.
            receiving = context.executor()
                    .schedule(() -> close(context, CloseCause.REQUEST_LATE), idleMillis, TimeUnit.MILLISECONDS);
        }
        if (message instanceof LastHttpContent && receiving != null) {
            receiving.cancel(false);
            receiving = null;
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof LastHttpContent && awaited > 0) {
            awaited--;
            // Counted when it is written, not when it is queued: a planned stop must not cut off the last bytes. The
            // server writes with a promise that takes no listeners, so another one stands in.
            super.write(context, message, promise.unvoid().addListener(written -> exchanges.ended(1)));
        } else {
            super.write(context, message, promise);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (receiving != null) {
            receiving.cancel(false);
        }
        exchanges.ended(awaited);
        awaited = 0;
        super.channelInactive(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof IdleStateEvent)) {
            super.userEventTriggered(context, event);
        } else if (awaited == 0) {
            close(context, CloseCause.IDLE);
        }
    }

    private static void close(ChannelHandlerContext context, String cause) {
        CloseCause.note(context.channel(), cause);
        context.close();
    }
}
