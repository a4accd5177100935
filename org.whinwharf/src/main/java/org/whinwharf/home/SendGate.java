package org.whinwharf.home;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Final check before a request is sent, shared by the home's thread and the sending thread.
 *
 * <p>Without the gate a cancelled request could still be sent: the home had decided to dispatch it, the sender was slow
 * or the process was paused, and meanwhile the caller was told "not run". The first call of {@link #trySend} and
 * {@link #close} decides; the result of the other one reports that decision.
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
     * @param validUntilMillis time from which the request may not be sent, by the home's monotonic clock
     */
    public SendGate(long validUntilMillis) {
        this.validUntilMillis = validUntilMillis;
    }

    /**
     * Claims the right to send. The sender calls this immediately before it hands the request to the network.
     *
     * @param nowMillis current time, read after all waiting
     * @return true when the request may be sent; true at most once
     */
    public boolean trySend(long nowMillis) {
        if (nowMillis >= validUntilMillis) {
            close();
            return false;
        }
        return state.compareAndSet(State.OPEN, State.SENT);
    }

    /**
     * Prevents sending.
     *
     * @return true when the request was not sent and never will be
     */
    public boolean close() {
        return state.compareAndSet(State.OPEN, State.CLOSED) || state.get() == State.CLOSED;
    }
}
