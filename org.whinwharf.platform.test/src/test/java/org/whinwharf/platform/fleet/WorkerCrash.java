package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;

/** What becomes of the connections of a worker that ends in the middle of its answers. */
enum WorkerCrash {
    /** The process was killed: its system closes the connections in order, but for those with unread bytes. */
    PROCESS {
        @Override
        void end(Socket connection) {
            try {
                connection.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    },
    /** All connections are reset. */
    RESET {
        @Override
        void end(Socket connection) {
            WorkerStandIn.reset(connection);
        }
    };

    /** Ends one connection. */
    abstract void end(Socket connection);
}
