package org.whinwharf.front;

import java.util.function.Consumer;

/** A connection from this process to the target. */
record DirectLink(TargetSocketChannel channel) implements TargetLink {
    @Override
    public boolean inputEnded() {
        return !channel.isActive() || channel.isInputShutdown();
    }

    @Override
    public boolean usable() {
        return true;
    }

    @Override
    public TargetFailure lossCause() {
        return TargetFailure.RESET;
    }

    @Override
    public void checkReset(Consumer<Boolean> consumer) {
        channel.checkReset(consumer);
    }

    @Override
    public String peerName() {
        return "";
    }
}
