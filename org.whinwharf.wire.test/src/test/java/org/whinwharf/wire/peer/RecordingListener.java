package org.whinwharf.wire.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.message.Frame;

/** Keeps what happened on links for a test to wait for. */
public final class RecordingListener implements PeerListener {
    private static final long PATIENCE_SECONDS = 20;

    private final BlockingQueue<PeerLink> ups = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> downs = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerAddress> unreachable = new LinkedBlockingQueue<>();

    @Override
    public void linkUp(PeerLink link) {
        ups.add(link);
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        if (!frame.hasHeartbeat()) {
            frames.add(frame);
        }
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        downs.add(reason);
    }

    @Override
    public void unreachable(PeerAddress peer) {
        unreachable.add(peer);
    }

    public PeerLink up() {
        return take(ups);
    }

    public String down() {
        return take(downs);
    }

    public Frame frame() {
        return take(frames);
    }

    public PeerAddress unreachablePeer() {
        return take(unreachable);
    }

    public int framesWaiting() {
        return frames.size();
    }

    private static <T> T take(BlockingQueue<T> queue) {
        try {
            T taken = queue.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            if (taken == null) {
                throw new AssertionError("nothing happened");
            }
            return taken;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
