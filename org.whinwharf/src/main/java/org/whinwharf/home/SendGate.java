package org.whinwharf.home;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Last check before a request leaves this host, shared by the thread that decides and the one that sends.
 *
 * <p>Without it a cancelled request could still leave: the decision to send was taken, the sender was slow or the
 * process was paused, and meanwhile the caller was told "not run". Whichever of {@link #trySend} and {@link #close}
 * comes first wins, and the other one learns it.
 */
public final class SendGate {
    private enum State {
        OPEN,
        SENT,
        CLOSED
    }

    private final long validUntilMillis;
    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

    /**
     * Creates an open gate.
     *
     * @param goodUntilMillis instant from which nothing may be sent, by the home's clock
     */
    public SendGate(long goodUntilMillis) {
        this.validUntilMillis = goodUntilMillis;
    }

    /**
     * Asks to send. The sender calls this right before it gives the request to the network.
     *
     * @param nowMillis now, read after all waiting
     * @return true when the request may leave; true at most once
     */
    public boolean trySend(long nowMillis) {
        if (nowMillis >= validUntilMillis) {
            close();
            return false;
        }
        return state.compareAndSet(State.OPEN, State.SENT);
    }

    /**
     * Forbids sending.
     *
     * @return true when nothing was sent and nothing ever will be
     */
    public boolean close() {
        return state.compareAndSet(State.OPEN, State.CLOSED) || state.get() == State.CLOSED;
    }
}
