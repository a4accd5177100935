package org.whinwharf.pgm.internal.call;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.errors.Ran;
import org.whinwharf.pgm.OperatorExit;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.HttpAnswer;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.fleet.FleetReader;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.caller.Addresses;
import org.whinwharf.wire.caller.Answer;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.EntryAddress;
import org.whinwharf.wire.caller.SubmitRequest;

/**
 * Sends one request and follows it to its end.
 *
 * <p>Each repeat carries the ticket and number of the first attempt, so that the request's home can join it to that
 * attempt: a connection that breaks can make the outcome unknown, but never makes the request run twice.
 */
public final class CallSession {
    private static final long FIRST_NUMBER = 1;
    private static final int MOST_ATTEMPTS = 4;
    private static final String HTTP_SCHEME = "http";

    private final CallerClient client;
    private final List<String> configuredEntries;
    private final Terminal terminal;
    private final StreamProgress progress;
    private final Ticker ticker = Ticker.system();
    private final List<String> entries = new ArrayList<>();
    private long startedAtMillis;

    /**
     * Makes a session.
     *
     * @param client client of the callers' interface
     * @param configuredEntries base URLs of entry hosts to begin with
     * @param terminal where progress and the stream go
     * @param showStream true to show tokens as they come
     */
    public CallSession(CallerClient client, List<String> configuredEntries, Terminal terminal, boolean showStream) {
        this.client = client;
        this.configuredEntries = List.copyOf(configuredEntries);
        this.terminal = terminal;
        this.progress = new StreamProgress(terminal, showStream, ticker);
    }

    /**
     * Sends the request.
     *
     * @param request request without ticket and number
     * @return what came of it
     * @throws CommandFailure when no entry host answers
     */
    public CallReport call(SubmitRequest request) throws CommandFailure {
        Addresses addresses = addresses();
        SubmitRequest numbered = request.toBuilder()
                .setTicket(addresses.getTicket())
                .setNumber(FIRST_NUMBER)
                .build();
        startedAtMillis = ticker.nowMillis();
        progress.start();
        return request.getStream() ? callStream(numbered) : callWhole(numbered);
    }

    private Addresses addresses() throws CommandFailure {
        CommandFailure last = null;
        for (String entry : configuredEntries) {
            String url = entry + "/v1/addresses";
            HttpAnswer answer = client.get(url);
            if (answer instanceof HttpAnswer.Answered answered && answered.isOk()) {
                return use(entry, parse(answered, Addresses.newBuilder()).build());
            }
            last = answer instanceof HttpAnswer.Answered answered
                    ? refused(answered)
                    : FleetReader.unreachable(url, answer);
        }
        throw last;
    }

    private Addresses use(String entry, Addresses addresses) {
        String scheme = entry.contains("://") ? entry.substring(0, entry.indexOf("://")) : HTTP_SCHEME;
        for (EntryAddress address : addresses.getAddressesList()) {
            String url = scheme + "://" + address.getAddress() + ":" + address.getPort();
            boolean home = address.getHost().equals(addresses.getHome());
            entries.add(home ? 0 : entries.size(), url);
        }
        if (entries.isEmpty()) {
            entries.add(entry);
        }
        terminal.err().println(PgmText.get("call.addresses", addresses.getAddressesCount(), addresses.getHome()));
        return addresses;
    }

    private CallReport callWhole(SubmitRequest request) throws CommandFailure {
        HttpAnswer last = null;
        for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
            String entry = entryOf(attempt);
            terminal.err().println(PgmText.get("call.sent", entry));
            last = client.submit(entry, request);
            if (last instanceof HttpAnswer.Answered answered) {
                return answered.isOk()
                        ? progress.whole(parse(answered, Answer.newBuilder()).build(), elapsedMillis())
                        : failed(answered);
            }
        }
        return lost(last);
    }

    private CallReport callStream(SubmitRequest request) throws CommandFailure {
        HttpAnswer last = null;
        for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
            String entry = entryOf(attempt);
            terminal.err().println(PgmText.get("call.sent", entry));
            last = progress.hasHead()
                    ? client.resume(entry, resumePath(attempt), progress::accept)
                    : client.submitStream(entry, request, progress::accept);
            if (progress.isEnded()) {
                return progress.report(elapsedMillis());
            }
            if (last instanceof HttpAnswer.Answered answered && !answered.isOk() && !progress.hasHead()) {
                return failed(answered);
            }
            progress.broken(reason(last));
        }
        return lost(last);
    }

    /** Tries the ticket's home twice, since every other host would have to ask it, and then the others in turn. */
    private String entryOf(int attempt) {
        return entries.get(Math.max(0, attempt - 1) % entries.size());
    }

    /** Asks the home first; when that does not answer, any host can resume straight from the target by the receipt. */
    private String resumePath(int attempt) {
        int from = progress.nextIndex();
        return attempt == 1
                ? "/v1/requests/" + progress.requestId() + "/answer?from=" + from
                : "/v1/streams?receipt=" + URLEncoder.encode(progress.receipt(), StandardCharsets.UTF_8) + "&from="
                        + from;
    }

    private CallReport failed(HttpAnswer.Answered answered) {
        return progress.failed(error(answered), elapsedMillis());
    }

    /**
     * Reads an error answer. One that is not this system's own, such as a gateway's, says nothing of whether it ran.
     */
    private static AnswerError error(HttpAnswer.Answered answered) {
        try {
            AnswerError error = parse(answered, AnswerError.newBuilder()).build();
            if (!error.getError().isEmpty()) {
                return error;
            }
        } catch (CommandFailure unreadable) {
            return foreignError(answered);
        }
        return foreignError(answered);
    }

    private static AnswerError foreignError(HttpAnswer.Answered answered) {
        return AnswerError.newBuilder()
                .setError(PgmText.get("http.status", answered.status()))
                .setRan(Ran.UNKNOWN.wireName())
                .build();
    }

    private CallReport lost(HttpAnswer last) {
        AnswerError error = AnswerError.newBuilder()
                .setError(PgmText.get("call.lost"))
                .setRan(Ran.UNKNOWN.wireName())
                .setDetail(reason(last))
                .build();
        return progress.failed(error, elapsedMillis());
    }

    private static String reason(HttpAnswer answer) {
        return answer instanceof HttpAnswer.Unreachable unreachable
                ? unreachable.reason()
                : PgmText.get("call.ended-early");
    }

    private static CommandFailure refused(HttpAnswer.Answered answered) {
        AnswerError error = error(answered);
        return new CommandFailure(
                OperatorExit.REFUSED, PgmText.get("call.error", error.getError(), error.getRan(), error.getDetail()));
    }

    private static <B extends Message.Builder> B parse(HttpAnswer.Answered answered, B builder) throws CommandFailure {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(answered.text(), builder);
            return builder;
        } catch (InvalidProtocolBufferException e) {
            String status = PgmText.get("http.status", answered.status());
            throw new CommandFailure(OperatorExit.FAILED, PgmText.get("unreadable", status, e.getMessage()));
        }
    }

    private long elapsedMillis() {
        return ticker.nowMillis() - startedAtMillis;
    }
}
