package org.whinwharf.pgm.internal.call;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.call.EventParser.StreamEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.caller.Answer;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.Token;

/** Puts the events of one stream together, over all connections that it took. */
final class StreamProgress {
    private final Terminal terminal;
    private final boolean showStream;
    private final Ticker ticker;
    private final StringBuilder text = new StringBuilder();
    private Head head = Head.getDefaultInstance();
    private AnswerError error = AnswerError.getDefaultInstance();
    private int nextIndex;
    private int resumed;
    private long startedAtMillis;
    private long firstTokenMillis;
    private boolean ended;

    StreamProgress(Terminal terminal, boolean showStream, Ticker ticker) {
        this.terminal = terminal;
        this.showStream = showStream;
        this.ticker = ticker;
    }

    void start() {
        startedAtMillis = ticker.nowMillis();
    }

    /** Takes one event. */
    void accept(StreamEvent event) {
        switch (event.name()) {
            case "head" -> acceptHead(parse(event, Head.newBuilder()).build());
            case "token" -> acceptToken(parse(event, Token.newBuilder()).build());
            case "end" -> ended = true;
            case "error" -> {
                error = parse(event, AnswerError.newBuilder()).build();
                ended = true;
            }
            default -> terminal.err().println(PgmText.get("call.event", event.name()));
        }
    }

    /** Notes that the connection broke before the end. */
    void broken(String reason) {
        resumed++;
        terminal.err().println(PgmText.get("call.broken", nextIndex, reason));
    }

    boolean hasHead() {
        return !head.getRequestId().isEmpty();
    }

    boolean isEnded() {
        return ended;
    }

    int nextIndex() {
        return nextIndex;
    }

    String requestId() {
        return head.getRequestId();
    }

    String receipt() {
        return head.getReceipt();
    }

    CallReport whole(Answer answer, long totalMillis) {
        return new CallReport(
                answer.getRequestId(),
                answer.getTarget(),
                answer.getText(),
                answer.getTokens(),
                0,
                0,
                totalMillis,
                "",
                "",
                "",
                0);
    }

    CallReport failed(AnswerError failure, long totalMillis) {
        error = failure;
        return report(totalMillis);
    }

    CallReport report(long totalMillis) {
        if (showStream && nextIndex > 0) {
            terminal.out().println();
        }
        return new CallReport(
                requestId().isEmpty() ? error.getRequestId() : requestId(),
                head.getTarget(),
                showStream ? "" : text.toString(),
                nextIndex,
                resumed,
                firstTokenMillis,
                totalMillis,
                error.getError(),
                error.getRan(),
                error.getDetail(),
                error.getComeBackMillis());
    }

    private void acceptHead(Head received) {
        head = received;
        String millis = Long.toString(ticker.nowMillis() - startedAtMillis);
        terminal.err().println(PgmText.get("call.head", head.getRequestId(), head.getTarget(), millis));
    }

    /** Takes a token once: a resumed stream may begin with some that came before the break. */
    private void acceptToken(Token token) {
        if (token.getIndex() != nextIndex) {
            return;
        }
        if (nextIndex == 0) {
            firstTokenMillis = ticker.nowMillis() - startedAtMillis;
        }
        nextIndex++;
        text.append(token.getText());
        if (showStream) {
            terminal.out().print(token.getText());
            terminal.out().flush();
        }
    }

    private static <B extends Message.Builder> B parse(StreamEvent event, B builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(event.data(), builder);
            return builder;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(PgmText.get("unreadable", event.name(), e.getMessage()), e);
        }
    }
}
