package org.whinwharf.home;

import com.google.protobuf.ByteString;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Recall;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.schema.StreamToken;

/** Event that a home handles. */
public sealed interface HomeEvent {
    /**
     * Passes this event to the handler's method for its type.
     *
     * @param handler the handler
     */
    void accept(HomeEventHandler handler);

    /**
     * A caller submits a request.
     *
     * @param caller handle of the caller's connection
     * @param submission the request
     */
    record Submitted(long caller, Submission submission) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks for the answer of a request that it submitted before.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param organisation organisation of the caller
     * @param fromIndex index of the first token that the caller has not received
     */
    record Rejoined(long caller, long sequence, String organisation, int fromIndex) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks for the state of a request.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param organisation organisation of the caller
     */
    record LookedUp(long caller, long sequence, String organisation) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * A caller asks for the state of the request that has a number under a ticket.
     *
     * @param caller handle of the caller's connection
     * @param ticketNumber ticket and number of the request
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
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param organisation organisation of the caller
     */
    record CancelRequested(long caller, long sequence, String organisation) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection of a caller is closed.
     *
     * @param caller handle of the caller's connection
     */
    record CallerDisconnected(long caller) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The unread part of the answer exceeds the caller's buffer.
     *
     * @param caller handle of the caller's connection
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
     * @param owner host of the scheduler that owns the slice
     * @param grant the grant
     */
    record Granted(String owner, Grant grant) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner refuses to queue or serve a request.
     *
     * @param owner host of the scheduler that owns the slice
     * @param refusal the refusal
     */
    record Refused(String owner, Refusal refusal) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner recalls a grant.
     *
     * @param owner host of the scheduler that owns the slice
     * @param recall the recall
     */
    record Recalled(String owner, Recall recall) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * An owner reports the status of its slice.
     *
     * @param status the reported status
     */
    record StatusReceived(SliceStatus status) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection to a scheduler is established.
     *
     * @param owner host of the scheduler that owns the slice
     */
    record OwnerConnected(String owner) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection to a scheduler is lost.
     *
     * @param owner host of the scheduler that owns the slice
     */
    record OwnerDisconnected(String owner) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The active document or the host list changed.
     *
     * @param view the new view
     */
    record ViewChanged(HomeView view) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The request was handed to the network.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record Sent(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The send gate was closed first: the request was not sent and never will be under this grant.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record NotSent(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection to the target failed, so no byte of the request was sent.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record ConnectFailed(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target rejected the request without admitting it.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record TargetRefused(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target answered with an error status.
     *
     * @param sequence number of the request, unique in this incarnation
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
     * @param sequence number of the request, unique in this incarnation
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
     * @param sequence number of the request, unique in this incarnation
     * @param status HTTP status
     * @param contentType media type
     * @param body complete body
     */
    record CallAnswered(long sequence, int status, String contentType, ByteString body) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The connection to the target closed before the answer was complete.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param reason cause, for the log
     */
    record StreamBroken(long sequence, String reason) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target has sent nothing for a while, or accepts no connection in time; it may go on at any moment.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param reason cause, for the log
     */
    record StreamSilent(long sequence, String reason) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /**
     * The target does not know the stream that the home tries to resume.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record StreamUnknown(long sequence) implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /** A planned stop begins: the home rejects new requests and completes those it has accepted. */
    record StopRequested() implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /** The process ends: the home ends all requests, and takes no others. */
    record StopDue() implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }

    /** The periodic tick: expired timers and tickets are due for handling. */
    record Ticked() implements HomeEvent {
        @Override
        public void accept(HomeEventHandler handler) {
            handler.on(this);
        }
    }
}
