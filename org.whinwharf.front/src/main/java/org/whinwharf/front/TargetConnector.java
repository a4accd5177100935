package org.whinwharf.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.path.RelayPeers;
import org.whinwharf.traffic.path.TargetPaths;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.RelayOpen;
import org.whinwharf.wire.fleet.RelayOutcome;

/**
 * Establishes connections to targets, directly or through a peer.
 *
 * <p>A direct connection is tried first while the path to the target is not known to be lost. If it is refused, or not
 * established after a few round-trip times, a peer is asked as well, and the connection that stands first is used. The
 * target counts as unreachable when two processes that reach other targets do not reach it, or one if there is no
 * other.
 */
final class TargetConnector {
    /**
     * Timeout of a direct connection: 200 round-trip times, and less than the queue timeout of the shortest objective.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    /** Time without a direct connection after which a peer is asked as well: several round trips between regions. */
    private static final long RELAY_DELAY_MILLIS = 200;
    /** Time for which a peer's answer is awaited; it connects to the target within 200 ms. */
    private static final int RELAY_TIMEOUT_MILLIS = 300;
    /** Maximum number of peers asked for one connection. */
    private static final int MAX_PEERS_ASKED = 3;
    /** Number of processes, of those that reach other targets, that must fail to reach a target. */
    private static final int REQUIRED_WITNESSES = 2;
    /** Maximum size of a response's head in bytes. */
    private static final int MAX_HEADER_BYTES = 32_768;

    private final EventLoopGroup loop;
    private final HttpDialect dialect;
    private final Ticker ticker;
    private final String localName;
    private final TargetRegistry targets;
    private final RelayPeers peers;
    private final OwnReach ownReach;

    TargetConnector(
            EventLoopGroup loop,
            HttpDialect dialect,
            Ticker ticker,
            String localName,
            TargetRegistry targets,
            RelayPeers peers,
            OwnReach ownReach) {
        this.loop = loop;
        this.dialect = dialect;
        this.ticker = ticker;
        this.localName = localName;
        this.targets = targets;
        this.peers = peers;
        this.ownReach = ownReach;
    }

    /**
     * Establishes a connection for a pool.
     *
     * @param askPeers false if a target that cannot be reached directly need not be reached through a peer
     */
    void connect(TargetConnectionPool pool, boolean askPeers, Consumer<ConnectResult> consumer) {
        new Attempt(pool, askPeers, consumer).start();
    }

    /** Tells whether another process is known to have taken a target's place since the given time. */
    boolean replacedSince(Target target, long sinceMillis) {
        return targets.replacedSince(target, sinceMillis);
    }

    /** Returns a time after which the event loop has polled its connections, in monotonic milliseconds. */
    long polledAtMillis() {
        return targets.polledAtMillis();
    }

    /** Runs a task on the event loop after a delay. */
    void schedule(Runnable task, long delayMillis) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Finds out by a health check whether the process that accepts connections is the target. */
    void confirmInstance(Target target, Consumer<Boolean> consumer) {
        targets.confirmInstance(target, consumer);
    }

    private TargetPaths paths() {
        return targets.paths();
    }

    /** One attempt to get a connection: a direct connection and several peers, of which the first success counts. */
    private final class Attempt {
        private final TargetConnectionPool pool;
        private final Target target;
        private final boolean askPeers;
        private final Consumer<ConnectResult> consumer;
        private final long startedAtMillis = ticker.nowMillis();
        private final Set<String> askedPeers = new HashSet<>();
        private boolean directPending;
        private boolean reachPending;
        private boolean peerPending;
        private boolean reachesOthers;
        private int peerWitnesses;
        private boolean done;

        Attempt(TargetConnectionPool pool, boolean askPeers, Consumer<ConnectResult> consumer) {
            this.pool = pool;
            this.target = pool.target();
            this.askPeers = askPeers;
            this.consumer = consumer;
        }

        void start() {
            if (paths().needsRelay(target.id())) {
                askPeer();
                // Not settled within this call: the request may be failing from within the queue that dispatches it.
                loop.execute(this::settle);
                return;
            }
            directPending = true;
            connectDirectly();
            if (askPeers) {
                loop.schedule(this::directIsSlow, RELAY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void connectDirectly() {
            bootstrap(TargetSocketChannel::new, CONNECT_TIMEOUT_MILLIS)
                    // Makes an end of input an event of its own, which a connection that fails does not cause.
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .handler(new ChannelInitializer<TargetSocketChannel>() {
                        @Override
                        protected void initChannel(TargetSocketChannel channel) {
                            addTargetHandlers(channel, new DirectLink(channel));
                        }
                    })
                    .connect(target.ip(), target.port())
                    .addListener((ChannelFuture connected) -> directEnded(connected));
        }

        private void directEnded(ChannelFuture connected) {
            directPending = false;
            targets.connectAttempted(target.id(), connected.isSuccess(), ticker.nowMillis() - startedAtMillis);
            if (connected.isSuccess()) {
                succeeded(connected.channel());
                return;
            }
            // The peer is asked first, since the own reach may be known at once and would then settle the attempt.
            if (!done && !peerPending && askPeers) {
                askPeer();
            }
            verifyOwnReach();
            settle();
        }

        private void directIsSlow() {
            if (directPending && !done) {
                askPeer();
                verifyOwnReach();
            }
        }

        private void verifyOwnReach() {
            if (reachPending || reachesOthers) {
                return;
            }
            reachPending = true;
            ownReach.verify(target.id(), startedAtMillis, reached -> {
                reachPending = false;
                reachesOthers = reached;
                settle();
            });
        }

        private void askPeer() {
            Optional<MemberReport> chosen = askedPeers.size() < MAX_PEERS_ASKED
                    ? peers.choose(target.dataCentre(), askedPeers, ticker.nowMillis())
                    : Optional.empty();
            peerPending = chosen.isPresent();
            if (chosen.isEmpty()) {
                return;
            }
            String peer = chosen.get().getName();
            askedPeers.add(peer);
            new RelayRequest(this, peer).send(chosen.get().getIp(), chosen.get().getRelayPort());
        }

        private void peerAnswered(String peer, Optional<RelayOutcome> outcome, Channel channel) {
            peerPending = false;
            if (outcome.isPresent() && outcome.get() == RelayOutcome.RELAY_OPENED) {
                if (done) {
                    channel.close();
                    return;
                }
                paths().lost(target.id(), peer, ticker.nowMillis());
                succeeded(channel);
                return;
            }
            channel.close();
            if (outcome.isPresent() && outcome.get() == RelayOutcome.RELAY_TARGET_UNREACHABLE) {
                peerWitnesses++;
            } else if (!onlyThisPathIsLost(outcome)) {
                peers.skip(peer, ticker.nowMillis());
            }
            if (!done && witnesses() < REQUIRED_WITNESSES) {
                askPeer();
            }
            settle();
        }

        /** Tells whether a peer without a path to this target may still have paths to others. */
        private boolean onlyThisPathIsLost(Optional<RelayOutcome> outcome) {
            return !paths().partitioned() && outcome.isPresent() && outcome.get() == RelayOutcome.RELAY_NO_PATH;
        }

        /** Returns the number of processes that reach other targets, but not this one. */
        private int witnesses() {
            return peerWitnesses + (reachesOthers ? 1 : 0);
        }

        private void succeeded(Channel channel) {
            TargetConnection connection = channel.pipeline().get(TargetConnection.class);
            connection.established();
            if (done) {
                pool.release(connection);
                return;
            }
            done = true;
            consumer.accept(ConnectResult.connected(connection));
        }

        /** Ends the attempt without a connection, once enough processes have failed or nothing is pending. */
        private void settle() {
            boolean pending = directPending || reachPending || peerPending;
            if (done || pending && witnesses() < REQUIRED_WITNESSES) {
                return;
            }
            done = true;
            consumer.accept(ConnectResult.failed(
                    witnesses() > 0 ? ConnectResult.Status.UNREACHABLE : ConnectResult.Status.NO_PATH));
        }

        private void addTargetHandlers(SocketChannel channel, TargetLink link) {
            channel.pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(new TargetAnswerDecoder(new HttpDecoderConfig()
                            .setMaxHeaderSize(MAX_HEADER_BYTES)
                            .setStrictLineParsing(true)))
                    .addLast(new TargetConnection(dialect, pool, link));
        }
    }

    /** Request to one peer to connect to a target. */
    private final class RelayRequest {
        private final Attempt attempt;
        private final String peer;
        private Channel channel;
        private boolean answered;

        RelayRequest(Attempt attempt, String peer) {
            this.attempt = attempt;
            this.peer = peer;
        }

        void send(String ip, int port) {
            RelayOpen open = RelayOpen.newBuilder()
                    .setFrom(localName)
                    .setTarget(attempt.target.id())
                    .build();
            RelayLink link = new RelayLink(
                    peer,
                    open,
                    () -> peers.usable(peer, ticker.nowMillis()),
                    outcome -> answered(Optional.of(outcome)));
            ChannelHandler pipeline = new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel relayChannel) {
                    relayChannel.pipeline().addLast(RelayFrame.decoder()).addLast(link);
                    attempt.addTargetHandlers(relayChannel, link);
                }
            };
            ChannelFuture connecting = bootstrap(NioSocketChannel::new, RELAY_TIMEOUT_MILLIS)
                    .handler(pipeline)
                    .connect(ip, port);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> answered(Optional.empty()));
            loop.schedule(() -> answered(Optional.empty()), RELAY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void answered(Optional<RelayOutcome> outcome) {
            if (!answered) {
                answered = true;
                attempt.peerAnswered(peer, outcome, channel);
            }
        }
    }

    private Bootstrap bootstrap(ChannelFactory<SocketChannel> factory, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(factory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }
}
