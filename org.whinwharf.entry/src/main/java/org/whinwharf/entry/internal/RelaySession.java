package org.whinwharf.entry.internal;

import com.google.protobuf.ByteString;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.RequestState;
import org.whinwharf.wire.message.AnswerEnd;
import org.whinwharf.wire.message.AnswerHead;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.RelayAnswer;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.StreamToken;

/** Gives an answer to the host that relayed the request. */
final class RelaySession implements CallerSession {
    private final PeerLink link;
    private final long relay;
    private final Runnable whenEnded;

    RelaySession(PeerLink link, long relay, Runnable whenEnded) {
        this.link = link;
        this.relay = relay;
        this.whenEnded = whenEnded;
    }

    @Override
    public void head(Head head) {
        AnswerHead answerHead = AnswerHead.newBuilder()
                .setRequestId(head.getRequestId())
                .setTarget(head.getTarget())
                .setStream(head.getRequestId())
                .build();
        send(RelayAnswer.newBuilder().setHead(answerHead));
    }

    @Override
    public void token(int index, String text) {
        StreamToken token =
                StreamToken.newBuilder().setIndex(index).setText(text).build();
        send(RelayAnswer.newBuilder().setToken(token));
    }

    @Override
    public void body(String requestId, String target, Answer answer) {
        AnswerHead head = AnswerHead.newBuilder()
                .setRequestId(requestId)
                .setTarget(target)
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .build();
        send(RelayAnswer.newBuilder().setHead(head));
        send(RelayAnswer.newBuilder().setChunk(answer.body()));
        end(AnswerEnd.getDefaultInstance());
    }

    @Override
    public void end(String requestId, String target, int tokens) {
        end(AnswerEnd.newBuilder().setTokens(tokens).build());
    }

    @Override
    public void error(ErrorKind kind, AnswerError error) {
        end(AnswerEnd.newBuilder()
                .setError(kind.wireName())
                .setDetail(error.getDetail())
                .setComeBackMillis(error.getComeBackMillis())
                .build());
    }

    @Override
    public void cutOff(ErrorKind kind, AnswerError error) {
        // The link closes next, and the relaying host tells its caller that the outcome is unknown.
        whenEnded.run();
    }

    @Override
    public void state(RequestState state) {
        ByteString bytes = state.toByteString();
        send(RelayAnswer.newBuilder().setChunk(bytes));
        end(AnswerEnd.getDefaultInstance());
    }

    private void end(AnswerEnd end) {
        send(RelayAnswer.newBuilder().setEnd(end));
        whenEnded.run();
    }

    private void send(RelayAnswer.Builder answer) {
        Frame frame = Frame.newBuilder().setRelayAnswer(answer.setRelay(relay)).build();
        if (!link.send(frame)) {
            // A part that is silently lost would leave a hole in the caller's answer. Without the link the relaying
            // host says "unknown" and the caller asks again for what it lacks.
            link.close("queue full");
        }
    }
}
