package org.whinwharf.entry.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.document.DocumentView;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.ticket.Receipt;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.RequestState;
import org.whinwharf.wire.message.AnswerEnd;
import org.whinwharf.wire.message.AnswerHead;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.RelayAnswer;
import org.whinwharf.wire.message.RelayCancel;
import org.whinwharf.wire.message.RelayLookup;
import org.whinwharf.wire.message.RelaySubmit;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.Host;

/**
 * Side of the host that a caller came to with another home's ticket: passes the request on and the answer back.
 *
 * <p>It never says "not run" of itself: only the home knows. Where the home does not answer, the caller is told that
 * the outcome is unknown.
 */
final class RelayClient implements Service {
    private static final int RING_SIZE = 8_192;
    private static final long TICK_MILLIS = 100;
    private static final long LINK_WAIT_MILLIS = 2_000;
    private static final long COME_BACK_MILLIS = 1_000;
    private static final String HOLDER = "relay";

    private final Node node;
    private final Duty<Runnable> duty;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<String, PeerLink> links = new HashMap<>();
    private long lastRelay;

    RelayClient(Node node) {
        this.node = node;
        duty = Duty.<Runnable>builder()
                .name("relay")
                .handler(new Handler())
                .ringSize(RING_SIZE)
                .tickMillis(TICK_MILLIS)
                .call();
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /** Passes a submission to its home. */
    void submit(String home, RelaySubmit submit, String organisation, CallerSession session) {
        begin(
                home,
                organisation,
                session,
                relay -> Frame.newBuilder()
                        .setRelaySubmit(submit.toBuilder().setRelay(relay))
                        .build());
    }

    /** Asks a home what became of a number. */
    void lookup(String home, RelayLookup lookup, CallerSession session) {
        begin(
                home,
                lookup.getOrganisation(),
                session,
                relay -> Frame.newBuilder()
                        .setRelayLookup(lookup.toBuilder().setRelay(relay))
                        .build());
    }

    /** Tells the home that the caller of a session is gone. */
    void gone(CallerSession session) {
        duty.offer(() -> pending.values().removeIf(each -> {
            boolean same = each.session == session;
            if (same) {
                cancel(each);
            }
            return same;
        }));
    }

    /** Ends all answers because this process ends. What becomes of the requests, only their homes know. */
    void cutOff() {
        duty.offer(() -> {
            ErrorKind kind = ErrorKind.HOME_UNREACHABLE;
            String why = EntryText.get("this-host-has-left");
            pending.values()
                    .forEach(each -> each.session.cutOff(
                            kind, Errors.of(kind, why, COME_BACK_MILLIS, requestId(each), List.of())));
            pending.clear();
        });
    }

    void linkUp(PeerLink link) {
        duty.offer(() -> {
            String host = link.peer().getHost();
            links.put(host, link);
            pending.values().stream()
                    .filter(each -> each.home.equals(host) && each.link == null)
                    .toList()
                    .forEach(this::send);
        });
    }

    void linkDown(PeerLink link) {
        duty.offer(() -> {
            links.remove(link.peer().getHost(), link);
            pending.values().stream()
                    .filter(each -> each.link == link)
                    .toList()
                    .forEach(each -> fail(each, EntryText.get("the-link-to-the-home-broke")));
        });
    }

    void answer(RelayAnswer answer) {
        if (!duty.offer(() -> pass(answer))) {
            // A part of an answer was lost; the caller must not get the rest as if it were whole.
            duty.offer(() -> Optional.ofNullable(pending.get(answer.getRelay()))
                    .ifPresent(each -> fail(each, EntryText.get("too-much-to-relay"))));
        }
    }

    private void begin(
            String home, String organisation, CallerSession session, java.util.function.LongFunction<Frame> frame) {
        boolean taken = duty.offer(() -> {
            long relay = ++lastRelay;
            Pending each = new Pending(relay, home, organisation, session, frame.apply(relay));
            each.linkByMillis = node.ticker().nowMillis() + LINK_WAIT_MILLIS;
            pending.put(relay, each);
            if (links.containsKey(home)) {
                send(each);
            } else {
                connect(each);
            }
        });
        if (!taken) {
            unreachable(session, EntryText.get("too-much-to-relay"));
        }
    }

    private void connect(Pending each) {
        Optional<Host> host = node.membership().flatMap(membership -> membership.host(each.home));
        if (host.isEmpty() || !host.get().hasEntry()) {
            fail(each, EntryText.get("the-home-is-not-in-the-host-list"));
            return;
        }
        PeerAddress peer = new PeerAddress(
                each.home,
                Role.ENTRY,
                host.get().getAddress(),
                host.get().getEntry().getEntryPeer());
        node.network().connect(peer, HOLDER);
    }

    private void send(Pending each) {
        each.link = links.get(each.home);
        if (!each.link.send(each.frame)) {
            fail(each, EntryText.get("the-queue-to-the-home-is-full"));
        }
    }

    private void pass(RelayAnswer answer) {
        Pending each = pending.get(answer.getRelay());
        if (each == null) {
            return;
        }
        switch (answer.getPartCase()) {
            case HEAD -> passHead(each, answer.getHead());
            case TOKEN ->
                each.session.token(
                        answer.getToken().getIndex(), answer.getToken().getText());
            case CHUNK -> each.body = each.body.concat(answer.getChunk());
            case END -> passEnd(each, answer.getEnd());
            default -> fail(each, EntryText.get("the-home-sent-an-unknown-part"));
        }
    }

    private void passHead(Pending each, AnswerHead head) {
        each.head = head;
        if (head.getStatus() != 0) {
            return;
        }
        each.session.head(Head.newBuilder()
                .setRequestId(head.getRequestId())
                .setTarget(head.getTarget())
                .setReceipt(receipt(each, head))
                .build());
    }

    private String receipt(Pending each, AnswerHead head) {
        Optional<DocumentView> document = node.document();
        Optional<Host> target = node.membership().flatMap((Membership list) -> list.host(head.getTarget()));
        if (document.isEmpty() || target.isEmpty()) {
            return "";
        }
        Receipt receipt = new Receipt(
                head.getTarget(),
                target.get().getAddress(),
                target.get().getTarget().getPort(),
                head.getStream(),
                each.organisation);
        return receipt.seal(new SealingKeys(document.get().sealingKeys()));
    }

    private void passEnd(Pending each, AnswerEnd end) {
        pending.remove(each.relay);
        if (!end.getError().isEmpty()) {
            ErrorKind kind = Errors.kind(end.getError());
            each.session.error(
                    kind, Errors.of(kind, end.getDetail(), end.getComeBackMillis(), requestId(each), List.of()));
        } else if (each.frame.hasRelayLookup()) {
            passState(each);
        } else if (each.head != null && each.head.getStatus() != 0) {
            Answer answer = new Answer(List.of(), each.head.getStatus(), each.head.getContentType(), each.body);
            each.session.body(each.head.getRequestId(), each.head.getTarget(), answer);
        } else {
            String target = each.head == null ? "" : each.head.getTarget();
            each.session.end(requestId(each), target, end.getTokens());
        }
    }

    private void passState(Pending each) {
        try {
            each.session.state(RequestState.parseFrom(each.body));
        } catch (InvalidProtocolBufferException malformed) {
            unreachable(each.session, EntryText.get("the-home-s-answer-is-malformed"));
        }
    }

    private void fail(Pending each, String why) {
        pending.remove(each.relay);
        unreachable(each.session, why);
    }

    private static void unreachable(CallerSession session, String why) {
        ErrorKind kind = ErrorKind.HOME_UNREACHABLE;
        session.error(kind, Errors.of(kind, why, COME_BACK_MILLIS, "", List.of()));
    }

    private static void cancel(Pending each) {
        if (each.link != null) {
            RelayCancel cancel = RelayCancel.newBuilder().setRelay(each.relay).build();
            each.link.send(Frame.newBuilder().setRelayCancel(cancel).build());
        }
    }

    private static String requestId(Pending each) {
        return each.head == null ? "" : each.head.getRequestId();
    }

    private static final class Pending {
        private final long relay;
        private final String home;
        private final String organisation;
        private final CallerSession session;
        private final Frame frame;
        private PeerLink link;
        private long linkByMillis;
        private AnswerHead head;
        private ByteString body = ByteString.EMPTY;

        Pending(long relay, String home, String organisation, CallerSession session, Frame frame) {
            this.relay = relay;
            this.home = home;
            this.organisation = organisation;
            this.session = session;
            this.frame = frame;
        }
    }

    private final class Handler implements DutyHandler<Runnable> {
        @Override
        public void handle(Runnable work) {
            work.run();
        }

        @Override
        public void tick() {
            long nowMillis = node.ticker().nowMillis();
            pending.values().stream()
                    .filter(each -> each.link == null && nowMillis >= each.linkByMillis)
                    .toList()
                    .forEach(each -> fail(each, EntryText.get("the-home-does-not-answer")));
        }
    }
}
