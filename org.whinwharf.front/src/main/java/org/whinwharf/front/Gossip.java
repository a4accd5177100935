package org.whinwharf.front;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Tells the other processes what this one does, and hears of them.
 *
 * <p>In a small fleet each process tells each other one directly. In a larger one it tells a few at random and passes
 * on what it heard last, so that the cost for a node stays the same while news takes a few rounds more.
 */
final class Gossip {
    /** Processes up to which each tells each other one directly. */
    private static final int SMALL_FLEET = 12;
    /** Peers told in one round of a larger fleet. */
    private static final int FAN_OUT = 3;
    /** Most bytes of a datagram, below the usual MTU. */
    private static final int MOST_DATAGRAM_BYTES = 1_300;
    /** Share of rounds in which a seed is told too, so that two halves that lost each other meet again. */
    private static final double SEED_SHARE = 0.1;

    /** Takes what was heard. */
    interface Listener {
        /** Takes a report that is news. */
        void heard(MemberReport report);
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final Ticker ticker;
    private final Random random;
    private final Listener listener;
    private Channel channel;

    Gossip(FrontSettings settings, MemberTable members, Ticker ticker, Random random, Listener listener) {
        this.settings = settings;
        this.members = members;
        this.ticker = ticker;
        this.random = random;
        this.listener = listener;
    }

    void start(EventLoopGroup loop) {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(settings.ip(), settings.peerPort())
                .syncUninterruptibly()
                .channel();
    }

    void stop() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Tells peers the own state, and what was heard last as far as room allows. */
    void round() {
        Set<String> ips = new LinkedHashSet<>();
        List<Member> known = new ArrayList<>(members.all());
        boolean small = known.size() < SMALL_FLEET;
        Collections.shuffle(known, random);
        known.stream()
                .limit(small ? SMALL_FLEET : FAN_OUT)
                .forEach(member -> ips.add(member.report().getIp()));
        if (known.size() < 2 || random.nextDouble() < SEED_SHARE) {
            ips.addAll(settings.seedIps());
        }
        ips.remove(settings.ip());
        if (ips.isEmpty()) {
            return;
        }
        byte[] datagram = datagram(known);
        for (String ip : ips) {
            channel.writeAndFlush(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(datagram), new InetSocketAddress(ip, settings.peerPort())),
                    channel.voidPromise());
        }
    }

    private byte[] datagram(List<Member> known) {
        FleetDatagram.Builder datagram =
                FleetDatagram.newBuilder().setFrom(settings.name()).addMembers(members.own());
        int room = MOST_DATAGRAM_BYTES - members.own().getSerializedSize();
        long nowMillis = ticker.nowMillis();
        known.sort(Comparator.comparingLong(Member::heardAtMillis).reversed());
        for (Member member : known) {
            boolean fresh = nowMillis - member.heardAtMillis() < MemberTable.SILENT_MILLIS;
            int size = member.report().getSerializedSize() + 4;
            if (fresh && room >= size) {
                datagram.addMembers(member.report());
                room -= size;
            }
        }
        return datagram.build().toByteArray();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet)
                throws InvalidProtocolBufferException {
            FleetDatagram datagram = FleetDatagram.parseFrom(packet.content().nioBuffer());
            for (MemberReport report : datagram.getMembersList()) {
                if (members.hear(report, ticker.nowMillis())) {
                    listener.heard(report);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            FrontLog.dutyFailed("datagram of a peer", cause);
        }
    }
}
