package org.whinwharf.home;

import com.google.protobuf.ByteString;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Recall;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.schema.StreamToken;

/** What can happen at a home. */
public sealed interface HomeEvent {
    /**
     * Hands this to the method of a handler that is made for it.
     *
     * @param handler the handler
     */
    void accept(HomeEventHandler handler);

    /**
     * A caller submits a request.
     *
     * @param caller handle of the connection that asked
     * @param submission the request
     */
    record Submitted(long caller, Submission submission) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks for the answer of a known request.
     *
     * @param caller handle of the connection that asked
     * @param sequence request, unique in this incarnation
     * @param organisation organisation of the caller
     * @param fromIndex first token that the caller lacks
     */
    record Rejoined(long caller, long sequence, String organisation, int fromIndex) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks what became of a request.
     *
     * @param caller handle of the connection that asked
     * @param sequence request, unique in this incarnation
     * @param organisation organisation of the caller
     */
    record LookedUp(long caller, long sequence, String organisation) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks what became of a number under a ticket.
     *
     * @param caller handle of the connection that asked
     * @param ticketNumber ticket and number
     * @param organisation organisation of the caller
     */
    record NumberLookedUp(long caller, TicketNumber ticketNumber, String organisation) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller cancels a request.
     *
     * @param caller handle of the connection that asked
     * @param sequence request, unique in this incarnation
     * @param organisation organisation of the caller
     */
    record CancelRequested(long caller, long sequence, String organisation) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection of a caller is gone.
     *
     * @param caller handle of the connection that asked
     */
    record CallerDisconnected(long caller) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller has more unread than is kept for it.
     *
     * @param caller handle of the connection that asked
     */
    record CallerSlow(long caller) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner grants a slot.
     *
     * @param owner host whose scheduler spoke
     * @param grant the grant
     */
    record Granted(String owner, Grant grant) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner refuses a request.
     *
     * @param owner host whose scheduler spoke
     * @param refusal the refusal
     */
    record Refused(String owner, Refusal refusal) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner calls a grant back.
     *
     * @param owner host whose scheduler spoke
     * @param recall the recall
     */
    record Recalled(String owner, Recall recall) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner says how its slice stands.
     *
     * @param status its word
     */
    record StatusReceived(SliceStatus status) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The link to a scheduler is up.
     *
     * @param owner host whose scheduler spoke
     */
    record OwnerConnected(String owner) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The link to a scheduler is gone.
     *
     * @param owner host whose scheduler spoke
     */
    record OwnerDisconnected(String owner) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The document or the host list changed.
     *
     * @param view what is now in force
     */
    record ViewChanged(HomeView view) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The request was given to the network.
     *
     * @param sequence request, unique in this incarnation
     */
    record Sent(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The gate kept the request back; it did not leave and never will by this grant.
     *
     * @param sequence request, unique in this incarnation
     */
    record NotSent(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * No connection to the target came about, so that no byte of the request left.
     *
     * @param sequence request, unique in this incarnation
     */
    record ConnectFailed(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target refused the request before it admitted it.
     *
     * @param sequence request, unique in this incarnation
     */
    record TargetRefused(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target answered with an error of its own.
     *
     * @param sequence request, unique in this incarnation
     * @param status HTTP status
     */
    record TargetFailed(long sequence, int status) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A token of the answer arrived.
     *
     * @param sequence request, unique in this incarnation
     * @param token the token
     */
    record TokenReceived(long sequence, StreamToken token) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A plain service answered.
     *
     * @param sequence request, unique in this incarnation
     * @param status HTTP status
     * @param contentType media type
     * @param body the whole body
     */
    record CallAnswered(long sequence, int status, String contentType, ByteString body) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection to the target ended before the answer did.
     *
     * @param sequence request, unique in this incarnation
     * @param reason why, for the log
     */
    record StreamBroken(long sequence, String reason) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target does not know the stream that was to be resumed.
     *
     * @param sequence request, unique in this incarnation
     */
    record StreamUnknown(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /** A planned stop begins. */
    record StopRequested() implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /** Time has passed. */
    record Ticked() implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }
}
