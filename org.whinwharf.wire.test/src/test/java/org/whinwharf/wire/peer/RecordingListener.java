package org.whinwharf.wire.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.message.Frame;

/** Records link events, so that a test can wait for them. */
public final class RecordingListener implements PeerListener {
    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<PeerLink> linksUp = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> downReasons = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerAddress> unreachable = new LinkedBlockingQueue<>();

    @Override
    public void linkUp(PeerLink link) {
        linksUp.add(link);
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        if (!frame.hasHeartbeat()) {
            frames.add(frame);
        }
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        downReasons.add(reason);
    }

    @Override
    public void unreachable(PeerAddress peer) {
        unreachable.add(peer);
    }

    public PeerLink awaitLinkUp() {
        return take(linksUp);
    }

    public String awaitLinkDown() {
        return take(downReasons);
    }

    public Frame awaitFrame() {
        return take(frames);
    }

    public PeerAddress awaitUnreachablePeer() {
        return take(unreachable);
    }

    public int pendingFrames() {
        return frames.size();
    }

    private static <T> T take(BlockingQueue<T> queue) {
        try {
            T taken = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (taken == null) {
                throw new AssertionError("no event within " + TIMEOUT_SECONDS + " seconds");
            }
            return taken;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
