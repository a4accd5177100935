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

/** Hands the published items from process to process, for those that cannot read the publishing service. */
final class PeerItems implements PeerItemSource {
    /** Most bytes of a message: a catalog at its largest and all targets. */
    private static final int MOST_BYTES = 8 * 1_024 * 1_024;
    /** Length of the frame header. */
    private static final int LENGTH_BYTES = 4;
    /** Time to connect to a peer before another one is asked. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** Time beyond the agreed wait within which an answer must begin. */
    private static final long FIRST_BYTE_MARGIN_MILLIS = 500;

    /** Longest time that is told as it is; beyond it the difference means nothing to an asker. */
    private static final long LONGEST_TOLD_MILLIS = 60_000;

    private final EventLoopGroup loop;
    private final ItemMirror mirror;
    private final FrontMetrics metrics;
    private final List<Waiting> waiting = new ArrayList<>();
    private ItemFreshness freshness;
    private Channel server;
    private Packed lastPacked = NOTHING_PACKED;
    /** The connection over which a peer answered last; null for none. */
    private Asker idle;

    PeerItems(EventLoopGroup loop, ItemMirror mirror, FrontMetrics metrics) {
        this.loop = loop;
        this.mirror = mirror;
        this.metrics = metrics;
    }

    private record Waiting(Channel channel, long afterRevision, boolean deflate) {}

    /** An answer as it was last sent, since a change is asked for by many at the same revision. */
    private record Packed(long afterRevision, long revision, ItemsAnswer answer) {}

    private static final Packed NOTHING_PACKED = new Packed(-1, -1, ItemsAnswer.getDefaultInstance());

    /** Begins to answer peers, with how fresh the items are. */
    void start(String ip, int port, ItemFreshness itemsFreshness) {
        freshness = itemsFreshness;
        server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(framed(QuestionHandler::new))
                .bind(ip, port)
                .syncUninterruptibly()
                .channel();
    }

    void stop() {
        if (server != null) {
            server.close();
        }
    }

    /** Answers the peers that wait for a change. */
    @Override
    public void itemsChanged() {
        lastPacked = NOTHING_PACKED;
        List<Waiting> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(this::answer);
    }

    @Override
    public void requestChanges(String ip, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> taker) {
        ItemsRequest question = ItemsRequest.newBuilder()
                .setAfterRevision(mirror.revision())
                .setWaitMillis(waitMillis)
                .setDeflate(true)
                .build();
        Asker kept = idle;
        if (kept != null && kept.ip.equals(ip) && kept.channel.isActive()) {
            idle = null;
            kept.ask(question, taker);
            return;
        }
        Asker asker = new Asker(ip);
        long connectingAtNanos = System.nanoTime();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(framed(() -> asker, asker.timeout.handler()))
                .connect(ip, port)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        asker.ask(question, taker);
                    } else {
                        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectingAtNanos);
                        ended(ItemsRequestOutcome.UNREACHABLE, ip, question, 0, tookMillis);
                        taker.accept(Optional.empty());
                    }
                });
    }

    private void ended(
            ItemsRequestOutcome outcome, String ip, ItemsRequest question, long receivedBytes, long tookMillis) {
        metrics.itemsRequested(outcome);
        metrics.itemsReceived(receivedBytes);
        if (outcome != ItemsRequestOutcome.ANSWERED) {
            FrontLog.itemsRequestFailed(ip, question.getAfterRevision(), outcome, receivedBytes, tookMillis);
        }
    }

    /** Keeps a connection for the next question, in place of the one that was kept before. */
    private void keep(Asker asker) {
        if (idle != null && idle != asker) {
            idle.channel.close();
        }
        idle = asker;
    }

    /** Turns a message into items. */
    static List<PublishedValue> values(Collection<PublishedItem> items) {
        return items.stream()
                .map(item -> new PublishedValue(
                        item.getKey(),
                        item.getRemoved() ? null : item.getValue().toByteArray(),
                        item.getRevision()))
                .toList();
    }

    private void answer(Waiting asker) {
        ItemsAnswer answer = asker.deflate() ? packed(asker.afterRevision()) : answerAfter(asker.afterRevision());
        write(
                asker.channel(),
                answer.toBuilder()
                        .setAgeMillis(bounded(freshness.ageMillis()))
                        .setReadableMillis(bounded(freshness.readableForMillis()))
                        .setWatching(freshness.watchHealthy())
                        .build());
    }

    private static int bounded(long millis) {
        return (int) Math.max(0, Math.min(LONGEST_TOLD_MILLIS, millis));
    }

    private ItemsAnswer packed(long afterRevision) {
        if (lastPacked.afterRevision() != afterRevision || lastPacked.revision() != mirror.revision()) {
            lastPacked =
                    new Packed(afterRevision, mirror.revision(), ItemsAnswerCodec.compress(answerAfter(afterRevision)));
        }
        return lastPacked.answer();
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

    private static ChannelInitializer<SocketChannel> framed(HandlerFactory factory, ChannelHandler... first) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(first)
                        .addLast(new LengthFieldBasedFrameDecoder(MOST_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(factory.create());
            }
        };
    }

    private final class QuestionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
            ItemsRequest request = ItemsRequest.parseFrom(frame.nioBuffer());
            Waiting asker = new Waiting(context.channel(), request.getAfterRevision(), request.getDeflate());
            if (request.getAfterRevision() < mirror.revision() || request.getWaitMillis() <= 0) {
                answer(asker);
                return;
            }
            waiting.add(asker);
            loop.schedule(
                    () -> {
                        if (waiting.remove(asker)) {
                            answer(asker);
                        }
                    },
                    request.getWaitMillis(),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            waiting.removeIf(asker -> asker.channel() == context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** One connection to a peer, with at most one question under way. */
    private final class Asker extends SimpleChannelInboundHandler<ByteBuf> {
        private final String ip;
        private final ResponseTimeout timeout = new ResponseTimeout(loop);
        private Channel channel;
        private ItemsRequest question;
        private Consumer<Optional<ItemsAnswer>> taker;

        Asker(String ip) {
            this.ip = ip;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void ask(ItemsRequest asked, Consumer<Optional<ItemsAnswer>> follower) {
            question = asked;
            taker = follower;
            timeout.start(asked.getWaitMillis() + FIRST_BYTE_MARGIN_MILLIS, this::late);
            write(channel, asked);
        }

        private void late() {
            finish(ItemsRequestOutcome.TIMED_OUT, Optional.empty());
            channel.close();
        }

        private void finish(ItemsRequestOutcome outcome, Optional<ItemsAnswer> answer) {
            if (taker != null) {
                Consumer<Optional<ItemsAnswer>> once = taker;
                taker = null;
                timeout.cancel();
                ended(outcome, ip, question, timeout.receivedBytes(), timeout.elapsedMillis());
                once.accept(answer);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
            ItemsAnswer answer = ItemsAnswerCodec.decompress(ItemsAnswer.parseFrom(frame.nioBuffer()), MOST_BYTES);
            keep(this);
            finish(ItemsRequestOutcome.ANSWERED, Optional.of(answer));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (idle == this) {
                idle = null;
            }
            finish(ItemsRequestOutcome.CLOSED, Optional.empty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
