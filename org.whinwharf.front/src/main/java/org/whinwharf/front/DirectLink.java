package org.whinwharf.front;

import io.netty.channel.socket.SocketChannel;

/** A connection from this process to the target. */
record DirectLink(SocketChannel channel) implements TargetLink {
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
    public String peerName() {
        return "";
    }
}
