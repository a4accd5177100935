package org.whinwharf.entry.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.reactivestreams.Publisher;
import org.whinwharf.document.Caller;
import org.whinwharf.document.Credentials;
import org.whinwharf.document.DocumentView;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Failure;
import org.whinwharf.errors.Result;
import org.whinwharf.errors.Success;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.home.RequestLocation;
import org.whinwharf.home.Submission;
import org.whinwharf.home.TicketNumber;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.ticket.Receipt;
import org.whinwharf.ticket.RequestId;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.caller.SubmitRequest;
import org.whinwharf.wire.message.RelayLookup;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.StreamToken;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** What callers ask, checked and handed to the home or to the home of their ticket. Called by network threads. */
final class CallerRequests {
    private static final String BEARER = "Bearer ";
    private static final long COME_BACK_MILLIS = 1_000;
    private static final int MAX_CREDENTIAL_CHARS = 1_024;

    private final EntrySettings settings;
    private final EntryParts parts;
    private final Node node;

    CallerRequests(EntrySettings settings, EntryParts parts) {
        this.settings = settings;
        this.parts = parts;
        node = parts.node();
    }

    static HttpResponse<?> refusal(ErrorKind kind, String detail) {
        return HttpSession.errorResponse(kind, Errors.of(kind, detail, COME_BACK_MILLIS, "", List.of()));
    }

    HttpResponse<?> addresses(HttpRequest<?> request) {
        Result<Known> known = known(request);
        if (known instanceof Failure<Known> failure) {
            return refuse(failure);
        }
        Known who = ((Success<Known>) known).value();
        if (!parts.addresses().isHome()) {
            // A ticket of this host would bring every request under it back here, to be turned away again.
            return HttpSession.errorResponse(
                    ErrorKind.HOST_LEAVING,
                    Errors.of(
                            ErrorKind.HOST_LEAVING,
                            EntryText.get("ask-another-host"),
                            COME_BACK_MILLIS,
                            "",
                            parts.addresses().elsewhere()));
        }
        return HttpSession.json(
                HttpStatus.OK.getCode(),
                parts.addresses().addresses(who.document(), who.caller().organisation()));
    }

    Publisher<HttpResponse<?>> submit(HttpRequest<?> request, byte[] body) {
        return withKnown(request, who -> {
            Result<SubmitRequest> parsed = SubmissionReader.parse(body);
            if (parsed instanceof Failure<SubmitRequest> failure) {
                return Mono.just(refuse(failure));
            }
            SubmitRequest submit = ((Success<SubmitRequest>) parsed).value();
            Result<Submission> checked = new SubmissionReader(who.document()).check(submit, who.caller());
            if (checked instanceof Failure<Submission> failure) {
                return Mono.just(refuse(failure));
            }
            return submitChecked(request, submit, ((Success<Submission>) checked).value());
        });
    }

    Publisher<HttpResponse<?>> lookup(HttpRequest<?> request, String id) {
        return withOwn(
                request,
                id,
                (who, sequence) -> ask(
                        request,
                        false,
                        handle -> new HomeEvent.LookedUp(
                                handle, sequence, who.caller().organisation())));
    }

    Publisher<HttpResponse<?>> cancel(HttpRequest<?> request, String id) {
        return withOwn(
                request,
                id,
                (who, sequence) -> ask(
                        request,
                        false,
                        handle -> new HomeEvent.CancelRequested(
                                handle, sequence, who.caller().organisation())));
    }

    Publisher<HttpResponse<?>> resume(HttpRequest<?> request, String id, String from) {
        Optional<Integer> fromIndex = index(from);
        if (fromIndex.isEmpty()) {
            return Mono.just(refuse(ErrorKind.BAD_VALUE, EntryText.get("from-a-number-from-0")));
        }
        return withOwn(
                request,
                id,
                (who, sequence) -> ask(
                        request,
                        true,
                        handle -> new HomeEvent.Rejoined(
                                handle, sequence, who.caller().organisation(), fromIndex.get())));
    }

    Publisher<HttpResponse<?>> lookupNumber(HttpRequest<?> request, String ticket, String number) {
        return withKnown(request, who -> {
            Result<Ticket> opened = Ticket.open(
                    ticket == null ? "" : ticket, new SealingKeys(who.document().sealingKeys()));
            if (opened instanceof Failure<Ticket> failure) {
                return Mono.just(refuse(failure));
            }
            Optional<Long> parsed = number(number);
            if (parsed.isEmpty()) {
                return Mono.just(refuse(ErrorKind.BAD_VALUE, EntryText.get("number-a-number-from-0")));
            }
            Ticket shown = ((Success<Ticket>) opened).value();
            return lookupNumber(request, who, ticket, new TicketNumber(shown, parsed.get()));
        });
    }

    Publisher<HttpResponse<?>> resumeByReceipt(HttpRequest<?> request, String receipt, String from) {
        return withKnown(request, who -> {
            Result<Receipt> opened = Receipt.open(
                    receipt == null ? "" : receipt,
                    new SealingKeys(who.document().sealingKeys()));
            if (opened instanceof Failure<Receipt> failure) {
                return Mono.just(refuse(failure));
            }
            Receipt shown = ((Success<Receipt>) opened).value();
            Optional<Integer> fromIndex = index(from);
            if (fromIndex.isEmpty() || !shown.organisation().equals(who.caller().organisation())) {
                ErrorKind kind = fromIndex.isEmpty() ? ErrorKind.BAD_VALUE : ErrorKind.BAD_TICKET;
                return Mono.just(refuse(kind, EntryText.get("from-a-number-from-0-the-receipt-of-this")));
            }
            return resumeAtTarget(request, shown, fromIndex.get());
        });
    }

    private Publisher<HttpResponse<?>> submitChecked(
            HttpRequest<?> request, SubmitRequest submit, Submission submission) {
        Optional<String> home =
                submission.ticketNumber().map(numbered -> numbered.ticket().home());
        if (home.isEmpty() || home.get().equals(settings.getNode().getHost())) {
            return ask(request, submit.getStream(), handle -> new HomeEvent.Submitted(handle, submission));
        }
        return relay(
                request,
                submit.getStream(),
                session -> parts.relays()
                        .submit(
                                home.get(),
                                SubmissionReader.relay(submit, submission),
                                submission.organisation(),
                                session));
    }

    private Publisher<HttpResponse<?>> lookupNumber(
            HttpRequest<?> request, Known who, String ticket, TicketNumber numbered) {
        String organisation = who.caller().organisation();
        if (numbered.ticket().home().equals(settings.getNode().getHost())) {
            return ask(request, false, handle -> new HomeEvent.NumberLookedUp(handle, numbered, organisation));
        }
        RelayLookup lookup = RelayLookup.newBuilder()
                .setTicket(ticket)
                .setNumber(numbered.number())
                .setOrganisation(organisation)
                .build();
        return relay(
                request,
                false,
                session -> parts.relays().lookup(numbered.ticket().home(), lookup, session));
    }

    private Publisher<HttpResponse<?>> ask(HttpRequest<?> request, boolean stream, LongFunction<HomeEvent> event) {
        return Mono.create(response -> {
            AskedHome asked = new AskedHome();
            HttpSession session = newSession(request, stream, response, asked::slow, asked::gone);
            asked.handle = parts.sessions().add(session);
            if (!parts.home().tryPut(event.apply(asked.handle))) {
                // The event never reached the home, so the request was not accepted and cannot run.
                parts.sessions().remove(asked.handle);
                tell(session, ErrorKind.HOST_FULL, EntryText.get("this-host-is-busy"));
            }
        });
    }

    private Publisher<HttpResponse<?>> relay(HttpRequest<?> request, boolean stream, Consumer<CallerSession> begin) {
        return Mono.create(response -> {
            HttpSession[] session = new HttpSession[1];
            Runnable gone = () -> parts.relays().gone(session[0]);
            session[0] = newSession(request, stream, response, gone, gone);
            begin.accept(session[0]);
        });
    }

    private Publisher<HttpResponse<?>> resumeAtTarget(HttpRequest<?> request, Receipt receipt, int fromIndex) {
        RequestLocation place =
                new RequestLocation(receipt.target(), receipt.address(), receipt.port(), receipt.stream());
        return Mono.create(response -> {
            Disposable.Swap connection = Disposables.swap();
            HttpSession[] session = new HttpSession[1];
            Runnable slow = () -> {
                connection.dispose();
                tell(session[0], ErrorKind.SLOW_CALLER, EntryText.get("the-caller-read-too-slowly"));
            };
            session[0] = newSession(request, true, response, slow, connection::dispose);
            ResumedStream resumed = new ResumedStream(session[0]);
            connection.replace(parts.targets()
                    .resumeDirectly(place, fromIndex)
                    .subscribe(resumed::token, resumed::failed, resumed::ended));
        });
    }

    private static void tell(HttpSession session, ErrorKind kind, String detail) {
        session.error(kind, Errors.of(kind, detail, COME_BACK_MILLIS, "", List.of()));
    }

    private HttpSession newSession(
            HttpRequest<?> request,
            boolean stream,
            MonoSink<HttpResponse<?>> response,
            Runnable whenSlow,
            Runnable whenGone) {
        return new HttpSession(
                stream,
                settings.getMaxUnreadBytes(),
                response,
                whenSlow,
                cause -> {
                    parts.metrics().answerCut(cause);
                    whenGone.run();
                },
                CloseWatch.of(request));
    }

    private static ErrorKind unknownOrLost(Throwable failure) {
        boolean unknown = failure instanceof HttpClientResponseException refused
                && refused.code() == HttpStatus.NOT_FOUND.getCode();
        return unknown ? ErrorKind.UNKNOWN_REQUEST : ErrorKind.TARGET_LOST;
    }

    private Publisher<HttpResponse<?>> withOwn(
            HttpRequest<?> request, String id, BiFunction<Known, Long, Publisher<HttpResponse<?>>> work) {
        return withKnown(request, who -> {
            Optional<RequestId> parsed = RequestId.parse(id);
            boolean own = parsed.isPresent()
                    && parsed.get().host().equals(settings.getNode().getHost())
                    && parsed.get().incarnation() == node.incarnation();
            if (own) {
                return work.apply(who, parsed.get().sequence());
            }
            ErrorKind kind = ErrorKind.UNKNOWN_REQUEST;
            String host = parsed.map(RequestId::host).orElse("");
            return Mono.just(HttpSession.errorResponse(
                    kind,
                    Errors.of(
                            kind,
                            EntryText.get("this-host-is-not-its-home"),
                            0,
                            id,
                            parts.addresses().of(host))));
        });
    }

    private Publisher<HttpResponse<?>> withKnown(
            HttpRequest<?> request, Function<Known, Publisher<HttpResponse<?>>> work) {
        Result<Known> known = known(request);
        if (known instanceof Failure<Known> failure) {
            return Mono.just(refuse(failure));
        }
        return work.apply(((Success<Known>) known).value());
    }

    private Result<Known> known(HttpRequest<?> request) {
        Optional<DocumentView> document = node.document();
        if (document.isEmpty() || node.membership().isEmpty()) {
            return new Failure<>(
                    ErrorKind.NOT_READY, EntryText.get("no-document-is-in-force-here-yet"), COME_BACK_MILLIS);
        }
        String header = request.getHeaders().get("Authorization");
        boolean wellFormed = header != null && header.startsWith(BEARER) && header.length() <= MAX_CREDENTIAL_CHARS;
        // The document holds hashes, and the hash of what is shown is looked up. How long that takes tells nothing of
        // a credential, since nobody can choose a credential by the bytes of its hash.
        Optional<Caller> caller = wellFormed
                ? document.get().caller(Credentials.hash(header.substring(BEARER.length())))
                : Optional.empty();
        return caller.<Result<Known>>map(found -> Result.of(new Known(document.get(), found)))
                .orElseGet(() -> Result.failure(
                        ErrorKind.UNKNOWN_CREDENTIAL, EntryText.get("the-credential-is-missing-or-unknown")));
    }

    private HttpResponse<?> refuse(Failure<?> failure) {
        parts.metrics().refused(failure.kind());
        return HttpSession.errorResponse(failure.kind(), Errors.of(failure));
    }

    private HttpResponse<?> refuse(ErrorKind kind, String detail) {
        parts.metrics().refused(kind);
        return refusal(kind, detail);
    }

    private static Optional<Integer> index(String text) {
        return text == null ? Optional.of(0) : number(text).map(Math::toIntExact);
    }

    private static Optional<Long> number(String text) {
        return text != null && text.matches("[0-9]{1,9}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
    }

    /** Passes on a stream that is resumed at its target, and ends the caller's answer once. */
    private static final class ResumedStream {
        private final HttpSession session;
        private boolean whole;

        ResumedStream(HttpSession session) {
            this.session = session;
        }

        void token(StreamToken token) {
            session.token(token.getIndex(), token.getText());
            if (token.getLast()) {
                whole = true;
                session.end("", "", token.getIndex() + 1);
            }
        }

        void failed(Throwable failure) {
            if (!whole) {
                tell(session, unknownOrLost(failure), EntryText.get("the-stream-can-t-be-resumed"));
            }
        }

        void ended() {
            if (!whole) {
                tell(session, ErrorKind.TARGET_LOST, EntryText.get("the-stream-ended-early"));
            }
        }
    }

    private record Known(DocumentView document, Caller caller) {}

    /** One caller that asked the home, and what the home is told of its connection. */
    private final class AskedHome {
        private long handle;

        void slow() {
            parts.home().put(new HomeEvent.CallerSlow(handle));
        }

        void gone() {
            parts.sessions().remove(handle);
            parts.home().put(new HomeEvent.CallerDisconnected(handle));
        }
    }
}
