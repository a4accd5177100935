package org.whinwharf.bench.internal;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.wire.schema.StreamOrder;
import org.whinwharf.wire.schema.StreamToken;
import reactor.core.publisher.Mono;

/** Sends straight to the targets in turn, without whinwharf: what its path costs and gains is compared with this. */
final class DirectTransport implements Transport {
    private static final Duration DEADLINE_GRACE = Duration.ofSeconds(5);

    private final Exchange exchange;
    private final List<String> engines;
    private final List<String> plains;
    private final AtomicLong turn = new AtomicLong();

    DirectTransport(Exchange exchange, List<String> engines, List<String> plains) {
        this.exchange = exchange;
        this.engines = engines;
        this.plains = plains;
    }

    @Override
    public boolean retries() {
        return false;
    }

    @Override
    public Mono<HistoryEntry> send(AttemptLog log, EntryTransport.Numbered repeated) {
        Plan plan = log.plan();
        String id = "direct." + plan.intent();
        List<String> targets = plan.kind().plain() ? plains : engines;
        String target = targets.get((int) (turn.getAndIncrement() % targets.size()));
        Mono<Void> sent = plan.kind().plain() ? call(log, target, id) : stream(log, target, id);
        return sent.timeout(Duration.ofMillis(plan.kind().deadlineMillis()).plus(DEADLINE_GRACE))
                .doOnError(RefusedException.class, log::refusal)
                .onErrorResume(fault -> Mono.empty())
                .then(Mono.fromCallable(log::finish));
    }

    private Mono<Void> call(AttemptLog log, String target, String id) {
        String url = target + "/v1/calls/" + log.plan().kind().call();
        HttpRequest.Builder request = Exchange.post(url, log.plan().body()).header("X-Request-Id", id);
        return exchange.text(request)
                .doOnNext(answer -> {
                    log.head(id, target);
                    log.wholeText(answer);
                })
                .then();
    }

    private Mono<Void> stream(AttemptLog log, String target, String id) {
        Plan plan = log.plan();
        StreamOrder order = StreamOrder.newBuilder()
                .setId(id)
                .setModel(plan.kind().model())
                .setPrompt(plan.prompt().text())
                .setMaxTokens(plan.kind().maxTokens())
                .build();
        log.head(id, target);
        return exchange.events(Exchange.post(target + "/v1/streams", Exchange.print(order)))
                .doOnNext(event -> token(log, event))
                .then();
    }

    private static void token(AttemptLog log, ServerEvent event) {
        StreamToken token =
                Exchange.parse(event.data(), StreamToken.newBuilder()).build();
        log.token(token.getText());
        if (token.getLast()) {
            log.whole();
        }
    }
}
