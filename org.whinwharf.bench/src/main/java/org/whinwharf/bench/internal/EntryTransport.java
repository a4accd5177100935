package org.whinwharf.bench.internal;

import java.net.URLEncoder;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.wire.caller.Answer;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.SubmitRequest;
import org.whinwharf.wire.caller.Token;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends as a caller does: asks for addresses, numbers requests under a ticket and resumes broken streams. */
final class EntryTransport implements Transport {
    private static final int MAX_RESUMES = 3;
    private static final Duration RESUME_PAUSE = Duration.ofMillis(200);
    private static final Duration DEADLINE_GRACE = Duration.ofSeconds(5);

    private final Exchange exchange;
    private final Map<String, CallerSession> sessions = new HashMap<>();

    EntryTransport(Exchange exchange, LoadProfile profile, List<String> bootstrap) {
        this.exchange = exchange;
        for (LoadProfile.Caller caller : profile.callers()) {
            sessions.put(caller.credential(), new CallerSession(exchange, caller.credential(), bootstrap));
        }
    }

    /**
     * Number under a ticket.
     *
     * @param url base URL of the entry host to send to
     * @param ticket sealed ticket
     * @param number number under it
     */
    record Numbered(String url, String ticket, long number) {}

    @Override
    public boolean retries() {
        return true;
    }

    @Override
    public Mono<HistoryEntry> send(AttemptLog log, Numbered repeated) {
        CallerSession session = sessions.get(log.plan().caller().credential());
        Mono<Numbered> numbered = repeated == null ? session.next() : Mono.just(elsewhere(session, repeated));
        Duration timeout = Duration.ofMillis(log.plan().kind().deadlineMillis()).plus(DEADLINE_GRACE);
        return numbered.flatMap(number -> submit(log, session, number))
                .timeout(timeout)
                .doOnError(RefusedException.class, log::refusal)
                .onErrorResume(fault -> Mono.empty())
                .then(Mono.fromCallable(() -> finish(log, session)));
    }

    private static Numbered elsewhere(CallerSession session, Numbered repeated) {
        return new Numbered(session.others(repeated.url()).get(0), repeated.ticket(), repeated.number());
    }

    private HistoryEntry finish(AttemptLog log, CallerSession session) {
        if (log.numbered() != null && (log.open() || log.sentElsewhere())) {
            session.leave(log.numbered().url());
        }
        return log.finish();
    }

    private Mono<Void> submit(AttemptLog log, CallerSession session, Numbered number) {
        log.numbered(number);
        SubmitRequest body = body(log.plan(), number);
        HttpRequest.Builder request = Exchange.authorized(
                Exchange.post(number.url() + "/v1/requests", Exchange.print(body)), session.credential());
        if (log.plan().kind().plain()) {
            return exchange.text(request).doOnNext(json -> whole(log, json)).then();
        }
        Stream stream = new Stream(log);
        return stream.read(exchange.events(request)).then(Mono.defer(() -> resume(stream, session, number.url())));
    }

    /** Goes on with a stream whose connection broke, at another host, as the receipt in its head allows. */
    private Mono<Void> resume(Stream stream, CallerSession session, String brokenUrl) {
        AttemptLog log = stream.log;
        if (!log.open() || stream.receipt.isEmpty() || log.resumes() >= MAX_RESUMES) {
            return Mono.empty();
        }
        List<String> others = session.others(brokenUrl);
        String url = others.get(log.resumes() % others.size());
        log.noteResume();
        String query = "/v1/streams?receipt=" + URLEncoder.encode(stream.receipt, StandardCharsets.UTF_8) + "&from="
                + log.tokens();
        HttpRequest.Builder request = Exchange.authorized(Exchange.get(url + query), session.credential());
        return Mono.delay(RESUME_PAUSE)
                .thenMany(stream.read(exchange.events(request)))
                .then(Mono.defer(() -> resume(stream, session, url)));
    }

    private static void whole(AttemptLog log, String json) {
        Answer answer = Exchange.parse(json, Answer.newBuilder()).build();
        log.head(answer.getRequestId(), answer.getTarget());
        log.wholeText(answer.getText());
    }

    private static SubmitRequest body(Plan plan, Numbered number) {
        SubmitRequest.Builder body = SubmitRequest.newBuilder()
                .setService(plan.kind().service())
                .setDeadlineMillis(plan.kind().deadlineMillis())
                .setTicket(number.ticket())
                .setNumber(number.number());
        if (plan.kind().plain()) {
            return body.setCall(plan.kind().call()).setBody(plan.body()).build();
        }
        return body.setModel(plan.kind().model())
                .setPrompt(plan.prompt().text())
                .setMaxTokens(plan.kind().maxTokens())
                .setStream(true)
                .build();
    }

    /** Events of one answer, over one connection or several. */
    private static final class Stream {
        private final AttemptLog log;
        private String receipt = "";

        private Stream(AttemptLog log) {
            this.log = log;
        }

        /** Reads until the connection ends; a break after the head is no error, since the stream can be resumed. */
        private Mono<Void> read(Flux<ServerEvent> events) {
            return events.doOnNext(this::event)
                    .then()
                    .onErrorResume(fault -> receipt.isEmpty() ? Mono.error(fault) : Mono.empty());
        }

        private void event(ServerEvent event) {
            switch (event.name()) {
                case "head" ->
                    head(Exchange.parse(event.data(), Head.newBuilder()).build());
                case "token" ->
                    log.token(Exchange.parse(event.data(), Token.newBuilder()).getText());
                case "end" -> log.whole();
                case "error" ->
                    log.error(Exchange.parse(event.data(), AnswerError.newBuilder())
                            .build());
                default -> throw new IllegalStateException("unknown event " + event.name());
            }
        }

        private void head(Head head) {
            log.head(head.getRequestId(), head.getTarget());
            receipt = head.getReceipt();
        }
    }
}
