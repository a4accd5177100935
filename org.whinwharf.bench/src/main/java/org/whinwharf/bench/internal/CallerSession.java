package org.whinwharf.bench.internal;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.caller.Addresses;
import org.whinwharf.wire.caller.EntryAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Addresses and ticket of one credential, kept for as long as the system said. */
final class CallerSession {
    // A ticket is given up this early, so that no number is spent on one that runs out on the way.
    private static final long TICKET_MARGIN_MILLIS = 1000;

    private final Exchange exchange;
    private final String credential;
    private final List<String> bootstrap;
    private Addresses addresses = Addresses.getDefaultInstance();
    private long goodUntilMillis = Long.MIN_VALUE;
    private String left = "";
    private long nextNumber;
    private Mono<Addresses> fetching;

    CallerSession(Exchange exchange, String credential, List<String> bootstrap) {
        this.exchange = exchange;
        this.credential = credential;
        this.bootstrap = bootstrap;
    }

    String credential() {
        return credential;
    }

    /** Returns a fresh number under a ticket that is still good, and where to send it. */
    Mono<EntryTransport.Numbered> next() {
        return fresh().map(ignored -> number());
    }

    /** Asks for addresses anew before the next request, and asks this host last. */
    synchronized void leave(String url) {
        left = url;
        goodUntilMillis = Long.MIN_VALUE;
    }

    /** Returns the base URLs other than the given one, in the order that the system gave. */
    synchronized List<String> others(String url) {
        List<String> others = addresses.getAddressesList().stream()
                .map(CallerSession::url)
                .filter(other -> !other.equals(url))
                .toList();
        return others.isEmpty() ? bootstrap : others;
    }

    private synchronized EntryTransport.Numbered number() {
        String home = addresses.getAddressesList().stream()
                .filter(address -> address.getHost().equals(addresses.getHome()))
                .findFirst()
                .map(CallerSession::url)
                .orElseGet(() -> others("").get(0));
        return new EntryTransport.Numbered(home, addresses.getTicket(), nextNumber++);
    }

    private synchronized Mono<Addresses> fresh() {
        if (nowMillis() < goodUntilMillis) {
            return Mono.just(addresses);
        }
        if (fetching == null) {
            fetching = Flux.fromIterable(candidates())
                    .concatMapDelayError(this::ask, 1)
                    .next()
                    .doOnNext(this::take)
                    .doFinally(ignored -> clearFetching())
                    .cache();
        }
        return fetching;
    }

    private List<String> candidates() {
        Set<String> candidates = new LinkedHashSet<>(others(left));
        candidates.addAll(bootstrap);
        if (candidates.remove(left)) {
            candidates.add(left);
        }
        return List.copyOf(candidates);
    }

    private Mono<Addresses> ask(String url) {
        return exchange.text(Exchange.authorized(Exchange.get(url + "/v1/addresses"), credential))
                .timeout(java.time.Duration.ofSeconds(2))
                .map(json -> Exchange.parse(json, Addresses.newBuilder()).build())
                .onErrorResume(fault -> Mono.empty());
    }

    private synchronized void take(Addresses fetched) {
        boolean sameTicket = fetched.getTicket().equals(addresses.getTicket());
        nextNumber = sameTicket ? nextNumber : 0;
        addresses = fetched;
        long ticketMillis = Math.max(0, fetched.getTicketMillis() - TICKET_MARGIN_MILLIS);
        goodUntilMillis = nowMillis() + Math.min(fetched.getGoodMillis(), ticketMillis);
    }

    private synchronized void clearFetching() {
        fetching = null;
    }

    private static String url(EntryAddress address) {
        return "http://" + address.getAddress() + ":" + address.getPort();
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
