package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.ItemsRequest;

class PeerItemsTest {
    private static final String IP = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 20;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PeerItems items = new PeerItems(loop, new ItemMirror(), new FrontMetrics());

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Guards against a connection per request: every front of a large fleet polls a peer once a second. */
    @Test
    void requestsToOnePeerShareAConnection() throws Exception {
        try (FakePeer peer = new FakePeer(Integer.MAX_VALUE)) {
            peer.requestChanges();
            peer.requestChanges();
            peer.requestChanges();
            assertThat(peer.requestsByConnection, contains(3));
        }
    }

    /** Guards against sending all later requests over a connection that the peer has closed. */
    @Test
    void closedConnectionIsReplaced() throws Exception {
        try (FakePeer peer = new FakePeer(1)) {
            peer.requestChanges();
            Optional<ItemsAnswer> answerAfterClose = peer.requestChanges();
            if (answerAfterClose.isEmpty()) {
                peer.requestChanges();
            }
            assertThat(peer.requestsByConnection, contains(1, 1));
        }
    }

    /** A peer that answers a limited number of requests per connection and then closes the connection. */
    private final class FakePeer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName(IP));
        private final List<Integer> requestsByConnection = new CopyOnWriteArrayList<>();
        private final int maxRequests;

        FakePeer(int mostQuestions) throws IOException {
            this.maxRequests = mostQuestions;
            Thread acceptor = new Thread(this::accept, "peer");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        Optional<ItemsAnswer> requestChanges() throws Exception {
            CompletableFuture<Optional<ItemsAnswer>> answer = new CompletableFuture<>();
            loop.execute(() -> items.requestChanges(IP, server.getLocalPort(), 0, answer::complete));
            return answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        private void accept() {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    requestsByConnection.add(0);
                    answer(socket);
                } catch (IOException e) {
                    // The requester closed the connection, or the test ended.
                    continue;
                }
            }
        }

        private void answer(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            int connectionIndex = requestsByConnection.size() - 1;
            for (int requests = 1; requests <= maxRequests; requests++) {
                byte[] request = in.readNBytes(in.readInt());
                if (ItemsRequest.parseFrom(request).getWaitMillis() != 0) {
                    throw new EOFException("unexpected request: it allows the peer to wait");
                }
                requestsByConnection.set(connectionIndex, requests);
                byte[] answer = ItemsAnswer.newBuilder().setRevision(1).build().toByteArray();
                out.writeInt(answer.length);
                out.write(answer);
                out.flush();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
