package org.whinwharf.wire.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.peer.internal.Backoff;
import org.whinwharf.wire.peer.internal.ConnectionRegistry;
import org.whinwharf.wire.peer.internal.Connector;
import org.whinwharf.wire.peer.internal.LinkContext;
import org.whinwharf.wire.peer.internal.LinkCounters;
import org.whinwharf.wire.peer.internal.LinkInitializer;
import org.whinwharf.wire.peer.internal.LinkLimits;
import org.whinwharf.wire.schema.PeerLimits;

/**
 * Links of one process to its peers: it listens, and it connects to those it is told of until it is told otherwise.
 *
 * <p>Two processes that connect to each other have two links. A process sends what it starts on the link that it made,
 * and answers on the link where it was asked. Safe for use by several threads.
 */
public final class PeerNetwork {
    /** Version of the protocol that this process speaks. */
    public static final int PROTOCOL_VERSION = 1;

    private static final String DAEMON_HOLDER = "daemon";
    private static final int ACCEPT_BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;
    private static final int MIN_HIGH_WATER_MARK_BYTES = 1 << 20;

    private final String address;
    private final int port;
    private final LinkContext context;
    private final LinkLimits limits;
    private final ConnectionRegistry registry;
    private final EventLoopGroup group;
    private final Map<PeerAddress, Connector> connectors = new ConcurrentHashMap<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private volatile Channel serverChannel;

    private PeerNetwork(Builder builder) {
        address = Objects.requireNonNull(builder.address, "address");
        port = builder.port;
        limits = LinkLimits.of(builder.limits);
        Hello self = builder.self.toBuilder().setProtocol(PROTOCOL_VERSION).build();
        context =
                new LinkContext(self, limits, builder.filter, builder.listener, builder.heartbeats, new LinkCounters());
        registry = new ConnectionRegistry(limits.maxConnections(), context);
        group = new MultiThreadIoEventLoopGroup(
                builder.threads, new DefaultThreadFactory("peer-network", true), NioIoHandler.newFactory());
    }

    /**
     * Starts the description of a network.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens.
     *
     * @throws IllegalStateException when the address or port cannot be used
     */
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(LinkInitializer.inbound(context, registry));
        var bound = bootstrap.bind(address, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + address + ":" + port, bound.cause());
        }
        serverChannel = bound.channel();
    }

    /** Sends what is queued, closes all links and stops listening. A second call has no effect. */
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        connectors.values().forEach(Connector::stop);
        connectors.clear();
        if (serverChannel != null) {
            serverChannel.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
        }
        registry.closeAll(STOP_TIMEOUT_MILLIS);
        group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }

    /**
     * Connects to a peer, and again each time that the link goes down, after a growing and jittered wait. Has no effect
     * when this part of the program already wants the peer.
     *
     * @param peer where the peer listens
     * @param holder part of the program that wants the link, such as {@code relay}
     */
    public void connect(PeerAddress peer, String holder) {
        if (!stopped.get()) {
            connectors.compute(peer, (key, known) -> {
                Connector connector = known == null ? newConnector(key) : known;
                connector.acquire(holder);
                return connector;
            });
        }
    }

    /**
     * Connects to a peer for the daemon itself.
     *
     * @param peer where the peer listens
     */
    public void connect(PeerAddress peer) {
        connect(peer, DAEMON_HOLDER);
    }

    /**
     * Closes the link to a peer and connects to it no more, once no part of the program wants it.
     *
     * @param peer where the peer listens
     * @param holder part of the program that wanted the link
     */
    public void disconnect(PeerAddress peer, String holder) {
        connectors.computeIfPresent(peer, (key, connector) -> connector.release(holder) ? null : connector);
    }

    /**
     * Gives up a link of the daemon itself.
     *
     * @param peer where the peer listens
     */
    public void disconnect(PeerAddress peer) {
        disconnect(peer, DAEMON_HOLDER);
    }

    /**
     * Asks the filter again about every connection and closes those that it admits no more. To be called when the
     * published list has changed.
     */
    public void recheck() {
        registry.recheck();
    }

    /**
     * Returns the counters.
     *
     * @return readings that go on counting
     */
    public PeerCounters counters() {
        return context.counters();
    }

    /**
     * Returns how many connections are open, in both directions.
     *
     * @return number of connections
     */
    public int connections() {
        return registry.openConnections();
    }

    /**
     * Returns the port on which the network listens.
     *
     * @return TCP port; the one that the system chose when the description said 0
     * @throws IllegalStateException before the start
     */
    public int port() {
        if (serverChannel == null) {
            throw new IllegalStateException("not started");
        }
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    private Connector newConnector(PeerAddress peer) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .localAddress(new InetSocketAddress(address, 0));
        Backoff backoff = new Backoff(limits.initialReconnectDelayMillis(), limits.maxReconnectDelayMillis());
        return new Connector(bootstrap, peer, backoff, context, registry);
    }

    private WriteBufferWaterMark waterMark() {
        int highBytes = Math.max(MIN_HIGH_WATER_MARK_BYTES, limits.maxFrameBytes());
        return new WriteBufferWaterMark(highBytes / 2, highBytes);
    }

    /** Describes a network. */
    public static final class Builder {
        private Hello self;
        private String address;
        private int port;
        private int threads = 1;
        private PeerLimits limits = PeerLimits.getDefaultInstance();
        private PeerFilter filter;
        private PeerListener listener;
        private Supplier<Heartbeat> heartbeats = Heartbeat::getDefaultInstance;

        private Builder() {}

        /**
         * Sets what this process says of itself; the protocol version is filled in.
         *
         * @param self host, role, incarnation and data centre
         * @return this builder
         */
        public Builder self(Hello self) {
            this.self = self;
            return this;
        }

        /**
         * Sets the IP number on which the process listens and from which it connects.
         *
         * @param address IP number
         * @return this builder
         */
        public Builder address(String address) {
            this.address = address;
            return this;
        }

        /**
         * Sets the port.
         *
         * @param port TCP port; 0 for one that the system chooses
         * @return this builder
         */
        public Builder port(int port) {
            this.port = port;
            return this;
        }

        /**
         * Sets how many threads serve the links.
         *
         * @param threads at least 1
         * @return this builder
         */
        public Builder threads(int threads) {
            this.threads = threads;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param limits limits; a field that is 0 takes the fallback of the schema
         * @return this builder
         */
        public Builder limits(PeerLimits limits) {
            this.limits = limits;
            return this;
        }

        /**
         * Sets who may be a peer.
         *
         * @param filter the decision
         * @return this builder
         */
        public Builder filter(PeerFilter filter) {
            this.filter = filter;
            return this;
        }

        /**
         * Sets who is told of links and frames.
         *
         * @param listener the listener
         * @return this builder
         */
        public Builder listener(PeerListener listener) {
            this.listener = listener;
            return this;
        }

        /**
         * Sets what heartbeats say.
         *
         * @param heartbeats makes the next heartbeat; called by network threads
         * @return this builder
         */
        public Builder heartbeats(Supplier<Heartbeat> heartbeats) {
            this.heartbeats = heartbeats;
            return this;
        }

        /**
         * Makes the network.
         *
         * @return a network, not yet started
         */
        public PeerNetwork call() {
            Objects.requireNonNull(self, "self");
            Objects.requireNonNull(filter, "filter");
            Objects.requireNonNull(listener, "listener");
            return new PeerNetwork(this);
        }
    }
}
