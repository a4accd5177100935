package org.whinwharf.entry.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.document.DocumentView;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Failure;
import org.whinwharf.errors.Result;
import org.whinwharf.errors.Success;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.home.Submission;
import org.whinwharf.home.TicketNumber;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.message.RelayCancel;
import org.whinwharf.wire.message.RelayLookup;
import org.whinwharf.wire.message.RelaySubmit;
import org.whinwharf.wire.peer.PeerLink;

/** Side of the home: takes requests that came to other hosts. Called by network threads. */
final class RelayServer {
    private final Node node;
    private final HomeDuty home;
    private final Sessions sessions;
    private final Map<PeerLink, Map<Long, Long>> handles = new ConcurrentHashMap<>();

    RelayServer(Node node, HomeDuty home, Sessions sessions) {
        this.node = node;
        this.home = home;
        this.sessions = sessions;
    }

    void submit(PeerLink link, RelaySubmit relay) {
        RelaySession session = new RelaySession(link, relay.getRelay(), () -> forget(link, relay.getRelay()));
        Optional<DocumentView> document = node.document();
        if (document.isEmpty()) {
            Failure<Submission> notReady =
                    new Failure<>(ErrorKind.HOME_UNREACHABLE, EntryText.get("the-home-has-no-document"), 0);
            session.error(notReady.kind(), Errors.of(notReady));
            return;
        }
        Result<Submission> checked = new SubmissionReader(document.get()).check(relay);
        if (checked instanceof Failure<Submission> failure) {
            session.error(failure.kind(), Errors.of(failure));
            return;
        }
        long handle = remember(link, relay.getRelay(), session);
        home.put(new HomeEvent.Submitted(handle, ((Success<Submission>) checked).value()));
    }

    void lookup(PeerLink link, RelayLookup lookup) {
        RelaySession session = new RelaySession(link, lookup.getRelay(), () -> forget(link, lookup.getRelay()));
        Result<Ticket> ticket = node.document()
                .map(document -> Ticket.open(lookup.getTicket(), new SealingKeys(document.sealingKeys())))
                .orElseGet(() -> Result.failure(ErrorKind.HOME_UNREACHABLE, EntryText.get("the-home-has-no-document")));
        if (ticket instanceof Failure<Ticket> failure) {
            session.error(failure.kind(), Errors.of(failure));
            return;
        }
        long handle = remember(link, lookup.getRelay(), session);
        TicketNumber numbered = new TicketNumber(((Success<Ticket>) ticket).value(), lookup.getNumber());
        home.put(new HomeEvent.NumberLookedUp(handle, numbered, lookup.getOrganisation()));
    }

    void cancel(PeerLink link, RelayCancel cancel) {
        Long handle = handles.getOrDefault(link, Map.of()).get(cancel.getRelay());
        if (handle != null) {
            gone(handle);
            forget(link, cancel.getRelay());
        }
    }

    void linkDown(PeerLink link) {
        Map<Long, Long> lost = handles.remove(link);
        if (lost != null) {
            lost.values().forEach(this::gone);
        }
    }

    private void gone(long handle) {
        sessions.remove(handle);
        home.put(new HomeEvent.CallerDisconnected(handle));
    }

    private long remember(PeerLink link, long relay, RelaySession session) {
        long handle = sessions.add(session);
        handles.computeIfAbsent(link, key -> new ConcurrentHashMap<>()).put(relay, handle);
        return handle;
    }

    private void forget(PeerLink link, long relay) {
        Map<Long, Long> open = handles.get(link);
        if (open != null) {
            open.remove(relay);
        }
    }
}
