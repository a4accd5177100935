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
 * Links of one process to its peers. The network accepts connections, and keeps a connection to each peer that was
 * passed to {@code connect} until {@code disconnect}.
 *
 * <p>Two processes that connect to each other have two links. A process sends its requests on the link that it opened,
 * and replies on the link on which the request arrived. Thread-safe.
 */
public final class PeerNetwork {
    /** Version of the protocol that this process uses. */
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
     * Returns a builder of a peer network.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Binds the server socket and starts to accept connections.
     *
     * @throws IllegalStateException if the address or port cannot be bound
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
        var bindFuture = bootstrap.bind(address, port).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + address + ":" + port, bindFuture.cause());
        }
        serverChannel = bindFuture.channel();
    }

    /** Stops accepting connections, writes the queued frames and closes all links. A second call has no effect. */
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
        group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }

    /**
     * Connects to a peer, and reconnects with jittered exponential backoff each time that the link goes down. Has no
     * effect if this holder already holds the link.
     *
     * @param peer address of the peer
     * @param holder component that needs the link, such as {@code relay}
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
     * Connects to a peer with the daemon as the holder.
     *
     * @param peer address of the peer
     */
    public void connect(PeerAddress peer) {
        connect(peer, DAEMON_HOLDER);
    }

    /**
     * Releases the link to a peer. Once it has no holder left, closes it and stops reconnecting.
     *
     * @param peer address of the peer
     * @param holder component that needed the link
     */
    public void disconnect(PeerAddress peer, String holder) {
        connectors.computeIfPresent(peer, (key, connector) -> connector.release(holder) ? null : connector);
    }

    /**
     * Releases a link of which the daemon is the holder.
     *
     * @param peer address of the peer
     */
    public void disconnect(PeerAddress peer) {
        disconnect(peer, DAEMON_HOLDER);
    }

    /**
     * Applies the filter again to every link and closes those that it no longer admits. Must be called when the
     * published host list has changed.
     */
    public void recheck() {
        registry.recheck();
    }

    /**
     * Returns the counters of this network.
     *
     * @return live counters
     */
    public PeerCounters counters() {
        return context.counters();
    }

    /**
     * Returns the number of open connections, inbound and outbound.
     *
     * @return number of connections
     */
    public int connections() {
        return registry.openConnections();
    }

    /**
     * Returns the port on which the network listens.
     *
     * @return TCP port; the one that the system chose if the configured port is 0
     * @throws IllegalStateException if the network has not been started
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

    /** Builds a peer network. */
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
         * Sets the hello that this process sends; the protocol version is filled in.
         *
         * @param self host, role, incarnation and data centre
         * @return this builder
         */
        public Builder self(Hello self) {
            this.self = self;
            return this;
        }

        /**
         * Sets the IP address on which the process listens and from which it connects.
         *
         * @param address IP address
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
         * Sets the number of network threads.
         *
         * @param threads number of threads, at least 1
         * @return this builder
         */
        public Builder threads(int threads) {
            this.threads = threads;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param limits limits; a field that is 0 takes the default of the schema
         * @return this builder
         */
        public Builder limits(PeerLimits limits) {
            this.limits = limits;
            return this;
        }

        /**
         * Sets the filter that decides which processes may be peers.
         *
         * @param filter the filter
         * @return this builder
         */
        public Builder filter(PeerFilter filter) {
            this.filter = filter;
            return this;
        }

        /**
         * Sets the listener that receives link events and frames.
         *
         * @param listener the listener
         * @return this builder
         */
        public Builder listener(PeerListener listener) {
            this.listener = listener;
            return this;
        }

        /**
         * Sets the source of heartbeats.
         *
         * @param heartbeats supplies the next heartbeat; called by network threads
         * @return this builder
         */
        public Builder heartbeats(Supplier<Heartbeat> heartbeats) {
            this.heartbeats = heartbeats;
            return this;
        }

        /**
         * Creates the network.
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
