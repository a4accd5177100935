package org.whinwharf.front;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.whinwharf.wire.fleet.FleetDatagram;

/** Sends and receives datagrams between the fronts of a fleet. Datagrams may be lost; every use tolerates that. */
final class PeerDatagrams {
    /** Receives datagrams. */
    interface Listener {
        /** Handles one datagram from the given IP address. */
        void datagramReceived(FleetDatagram datagram, String senderIp);
    }

    /** Maximum size of a datagram in bytes, sent or received; the protocol allows none that is longer. */
    static final int MAX_DATAGRAM_BYTES = 65_507;
    /** Maximum number of datagrams that are read in one turn of the event loop; an allocator of its own reads one. */
    private static final int MAX_DATAGRAMS_PER_READ = 16;

    private static final String SEND_TASK = "datagram to a peer";
    private static final String RECEIVE_TASK = "datagram of a peer";

    private final FrontSettings settings;
    private final TaskGuard tasks;
    private final List<Listener> listeners = new ArrayList<>();
    private DatagramChannel socket;
    private Channel channel;

    PeerDatagrams(FrontSettings settings, TaskGuard tasks) {
        this.settings = settings;
        this.tasks = tasks;
    }

    void addListener(Listener listener) {
        listeners.add(listener);
    }

    void start(EventLoopGroup loop) throws IOException {
        socket = DatagramChannel.open(StandardProtocolFamily.INET);
        channel = new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel(socket))
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
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

    /** Sends a datagram to the front on one host. */
    void send(FleetDatagram datagram, String ip) {
        send(datagram, List.of(ip));
    }

    /**
     * Sends a datagram to the fronts on several hosts.
     *
     * <p>Writes directly to the socket and bypasses the channel. A full send buffer drops the datagram, as the network
     * may; queueing it in the channel would only delay it. A datagram that is too long is dropped, counted and logged.
     */
    void send(FleetDatagram datagram, Collection<String> ips) {
        ByteBuffer bytes = ByteBuffer.wrap(datagram.toByteArray());
        if (bytes.remaining() > MAX_DATAGRAM_BYTES) {
            tasks.failed(SEND_TASK, new IOException("datagram of " + bytes.remaining() + " bytes"));
            return;
        }
        for (String ip : ips) {
            try {
                socket.send(bytes.rewind(), new InetSocketAddress(address(ip), settings.peerPort()));
            } catch (IOException | RuntimeException e) {
                // A peer that cannot be reached keeps the datagram from no other.
                tasks.failed(SEND_TASK, e);
            }
        }
    }

    /** Returns an address without asking a name service, which would block the event loop. */
    private static InetAddress address(String ip) throws IOException {
        InetAddress address = NetUtil.createInetAddressFromIpAddressString(ip);
        if (address == null) {
            throw new IOException("not an IP address: " + ip);
        }
        return address;
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet)
                throws InvalidProtocolBufferException {
            FleetDatagram datagram = FleetDatagram.parseFrom(packet.content().nioBuffer());
            String senderIp = packet.sender().getAddress().getHostAddress();
            listeners.forEach(listener -> tasks.run(RECEIVE_TASK, () -> listener.datagramReceived(datagram, senderIp)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            tasks.failed(RECEIVE_TASK, cause);
        }
    }
}
