package org.whinwharf.entry.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import io.netty.handler.timeout.IdleStateHandler;
import jakarta.inject.Singleton;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.wire.schema.EntrySettings;

/** Bounds the callers' connections and closes those that do nothing. */
@Singleton
@Requires(property = AdminServer.SERVER_PROPERTY, value = CallerServer.CALLERS)
final class CallerConnections implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {
    private final EntrySettings settings;
    private final Exchanges exchanges;
    private final AtomicInteger open = new AtomicInteger();

    CallerConnections(EntrySettings settings, Exchanges exchanges) {
        this.settings = settings;
        this.exchanges = exchanges;
    }

    @Override
    public NettyServerCustomizer.Registry onCreated(BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
        event.getBean().register(new Customizer(null));
        return event.getBean();
    }

    private void count(Channel channel) {
        channel.closeFuture().addListener(closed -> open.decrementAndGet());
        if (open.incrementAndGet() > settings.getMaxConnections()) {
            // Without a bound a flood of connections takes the memory that requests in flight need.
            CloseCause.note(channel, CloseCause.TOO_MANY);
            channel.close();
        }
    }

    private final class Customizer implements NettyServerCustomizer {
        private final Channel channel;

        Customizer(Channel channel) {
            this.channel = channel;
        }

        @Override
        public NettyServerCustomizer specializeForChannel(Channel created, ChannelRole role) {
            if (role == ChannelRole.CONNECTION) {
                count(created);
            }
            return new Customizer(created);
        }

        @Override
        public void onStreamPipelineBuilt() {
            String codec = ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC;
            if (channel == null || channel.pipeline().get(codec) == null) {
                return;
            }
            long idleMillis = settings.getIdleMillis();
            channel.pipeline().addAfter(codec, "caller-idle", new IdleGuard(idleMillis, exchanges));
            IdleStateHandler idle = new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS);
            channel.pipeline().addAfter(codec, "caller-idle-state", idle);
            channel.pipeline().addAfter(codec, "caller-close-cause", new CloseCause());
        }
    }
}
