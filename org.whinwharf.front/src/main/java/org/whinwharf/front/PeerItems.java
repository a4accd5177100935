package org.whinwharf.front;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.ItemsRequest;
import org.whinwharf.wire.fleet.PublishedItem;

/**
 * Exchanges published items with other fronts, for those that do not read the publishing service themselves.
 *
 * <p>Serves the requests of peers, and sends requests to peers over connections that it reuses.
 */
final class PeerItems implements PeerItemSource {
    /** Maximum size of a message in bytes: fits the largest catalog and all targets. */
    private static final int MAX_MESSAGE_BYTES = 8 * 1_024 * 1_024;
    /** Size of the length field before each message. */
    private static final int FRAME_HEADER_BYTES = 4;
    /** Time after which a connection attempt fails, so that another peer can be asked. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** Margin beyond the requested wait within which an answer must begin. */
    private static final long FIRST_BYTE_MARGIN_MILLIS = 500;

    /** Longest duration reported to a peer; longer ones are capped, because a peer treats them alike. */
    private static final long MAX_REPORTED_MILLIS = 60_000;

    private final EventLoopGroup loop;
    private final ItemMirror mirror;
    private final FrontMetrics metrics;
    private final List<PendingRequest> pendingRequests = new ArrayList<>();
    private ItemFreshness freshness;
    private Channel server;
    private CachedAnswer cachedAnswer = NO_CACHED_ANSWER;
    /** The connection on which a peer answered last, kept for reuse; null when there is none. */
    private PeerConnection idleConnection;

    PeerItems(EventLoopGroup loop, ItemMirror mirror, FrontMetrics metrics) {
        this.loop = loop;
        this.mirror = mirror;
        this.metrics = metrics;
    }

    /** A request of a peer that waits for a change. */
    private record PendingRequest(Channel channel, long afterRevision, boolean deflate) {}

    /** The last deflated answer, cached because many peers request a change from the same revision. */
    private record CachedAnswer(long afterRevision, long revision, ItemsAnswer answer) {}

    private static final CachedAnswer NO_CACHED_ANSWER = new CachedAnswer(-1, -1, ItemsAnswer.getDefaultInstance());

    /**
     * Starts to serve requests of peers.
     *
     * @param ip local IP address
     * @param port local port
     * @param itemsFreshness freshness of the local items, reported with each answer
     */
    void start(String ip, int port, ItemFreshness itemsFreshness) {
        freshness = itemsFreshness;
        server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(framedPipeline(ItemsRequestHandler::new))
                .bind(ip, port)
                .syncUninterruptibly()
                .channel();
    }

    void stop() {
        if (server != null) {
            server.close();
        }
    }

    /** Answers all pending requests. */
    @Override
    public void itemsChanged() {
        cachedAnswer = NO_CACHED_ANSWER;
        List<PendingRequest> ready = List.copyOf(pendingRequests);
        pendingRequests.clear();
        ready.forEach(this::sendAnswer);
    }

    @Override
    public void requestChanges(String ip, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> callback) {
        ItemsRequest request = ItemsRequest.newBuilder()
                .setAfterRevision(mirror.revision())
                .setWaitMillis(waitMillis)
                .setDeflate(true)
                .build();
        PeerConnection kept = idleConnection;
        if (kept != null && kept.ip.equals(ip) && kept.channel.isActive()) {
            idleConnection = null;
            kept.send(request, callback);
            return;
        }
        PeerConnection connection = new PeerConnection(ip);
        long connectStartNanos = System.nanoTime();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(framedPipeline(() -> connection, connection.timeout.handler()))
                .connect(ip, port)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        connection.send(request, callback);
                    } else {
                        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectStartNanos);
                        recordOutcome(ItemsRequestOutcome.UNREACHABLE, ip, request, 0, tookMillis);
                        callback.accept(Optional.empty());
                    }
                });
    }

    private void recordOutcome(
            ItemsRequestOutcome outcome, String ip, ItemsRequest request, long receivedBytes, long tookMillis) {
        metrics.itemsRequested(outcome);
        metrics.itemsReceived(receivedBytes);
        if (outcome != ItemsRequestOutcome.ANSWERED) {
            FrontLog.itemsRequestFailed(ip, request.getAfterRevision(), outcome, receivedBytes, tookMillis);
        }
    }

    /** Keeps a connection for the next request and closes the one kept before. */
    private void keepIdle(PeerConnection connection) {
        if (idleConnection != null && idleConnection != connection) {
            idleConnection.channel.close();
        }
        idleConnection = connection;
    }

    /** Converts the items of a message to published values. */
    static List<PublishedValue> toPublishedValues(Collection<PublishedItem> items) {
        return items.stream()
                .map(item -> new PublishedValue(
                        item.getKey(),
                        item.getRemoved() ? null : item.getValue().toByteArray(),
                        item.getRevision()))
                .toList();
    }

    private void sendAnswer(PendingRequest request) {
        ItemsAnswer answer =
                request.deflate() ? deflatedAnswerAfter(request.afterRevision()) : answerAfter(request.afterRevision());
        write(
                request.channel(),
                answer.toBuilder()
                        .setAgeMillis(clampMillis(freshness.ageMillis()))
                        .setReadableMillis(clampMillis(freshness.readableForMillis()))
                        .setWatching(freshness.watchHealthy())
                        .build());
    }

    private static int clampMillis(long millis) {
        return (int) Math.max(0, Math.min(MAX_REPORTED_MILLIS, millis));
    }

    private ItemsAnswer deflatedAnswerAfter(long afterRevision) {
        if (cachedAnswer.afterRevision() != afterRevision || cachedAnswer.revision() != mirror.revision()) {
            cachedAnswer = new CachedAnswer(
                    afterRevision, mirror.revision(), ItemsAnswerCodec.compress(answerAfter(afterRevision)));
        }
        return cachedAnswer.answer();
    }

    private ItemsAnswer answerAfter(long afterRevision) {
        Optional<List<PublishedValue>> changes = mirror.changesAfter(afterRevision);
        ItemsAnswer.Builder answer =
                ItemsAnswer.newBuilder().setRevision(mirror.revision()).setComplete(changes.isEmpty());
        for (PublishedValue value : changes.isPresent() ? changes.get() : mirror.all()) {
            PublishedItem.Builder item =
                    PublishedItem.newBuilder().setKey(value.key()).setRevision(value.revision());
            if (value.removed()) {
                item.setRemoved(true);
            } else {
                item.setValue(ByteString.copyFrom(value.value()));
            }
            answer.addItems(item);
        }
        return answer.build();
    }

    private static void write(Channel channel, MessageLite message) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(message.toByteArray()));
    }

    private interface HandlerFactory {
        SimpleChannelInboundHandler<ByteBuf> create();
    }

    private static ChannelInitializer<SocketChannel> framedPipeline(
            HandlerFactory factory, ChannelHandler... precedingHandlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(precedingHandlers)
                        .addLast(new LengthFieldBasedFrameDecoder(
                                MAX_MESSAGE_BYTES, 0, FRAME_HEADER_BYTES, 0, FRAME_HEADER_BYTES))
                        .addLast(new LengthFieldPrepender(FRAME_HEADER_BYTES))
                        .addLast(factory.create());
            }
        };
    }

    private final class ItemsRequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
            ItemsRequest request = ItemsRequest.parseFrom(frame.nioBuffer());
            PendingRequest pending =
                    new PendingRequest(context.channel(), request.getAfterRevision(), request.getDeflate());
            if (request.getAfterRevision() < mirror.revision() || request.getWaitMillis() <= 0) {
                sendAnswer(pending);
                return;
            }
            pendingRequests.add(pending);
            loop.schedule(
                    () -> {
                        if (pendingRequests.remove(pending)) {
                            sendAnswer(pending);
                        }
                    },
                    request.getWaitMillis(),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pendingRequests.removeIf(pending -> pending.channel() == context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A connection to a peer with at most one request in flight. */
    private final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final String ip;
        private final ResponseTimeout timeout = new ResponseTimeout(loop);
        private Channel channel;
        private ItemsRequest request;
        private Consumer<Optional<ItemsAnswer>> callback;

        PeerConnection(String ip) {
            this.ip = ip;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void send(ItemsRequest newRequest, Consumer<Optional<ItemsAnswer>> newCallback) {
            request = newRequest;
            callback = newCallback;
            timeout.start(newRequest.getWaitMillis() + FIRST_BYTE_MARGIN_MILLIS, this::handleTimeout);
            write(channel, newRequest);
        }

        private void handleTimeout() {
            finish(ItemsRequestOutcome.TIMED_OUT, Optional.empty());
            channel.close();
        }

        private void finish(ItemsRequestOutcome outcome, Optional<ItemsAnswer> answer) {
            if (callback != null) {
                Consumer<Optional<ItemsAnswer>> finishedCallback = callback;
                callback = null;
                timeout.cancel();
                recordOutcome(outcome, ip, request, timeout.receivedBytes(), timeout.elapsedMillis());
                finishedCallback.accept(answer);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
            ItemsAnswer answer =
                    ItemsAnswerCodec.decompress(ItemsAnswer.parseFrom(frame.nioBuffer()), MAX_MESSAGE_BYTES);
            keepIdle(this);
            finish(ItemsRequestOutcome.ANSWERED, Optional.of(answer));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (idleConnection == this) {
                idleConnection = null;
            }
            finish(ItemsRequestOutcome.CLOSED, Optional.empty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
