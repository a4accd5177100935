package org.whinwharf.entry.internal;

import java.util.List;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
import org.whinwharf.home.Home;
import org.whinwharf.home.HomeAction;
import org.whinwharf.home.HomeNote;
import org.whinwharf.home.Outcome;
import org.whinwharf.home.RequestPhase;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.ticket.Receipt;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.EntryAddress;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.RequestState;
import org.whinwharf.wire.message.Frame;

/** Carries out what the home decides. Runs on the home's thread and never waits. */
final class ActionRunner implements HomeAction.Handler {
    private static final String COMPLETED = "completed";
    private static final String FAILED = "failed";

    private final Node node;
    private final Home home;
    private final Sessions sessions;
    private final SchedulerLinks schedulers;
    private final Targets targets;
    private final AnswerCache answers;
    private final Explanations explanations;
    private final RequestSpans spans;
    private final EntryMetrics metrics;
    private final AddressBook addresses;

    ActionRunner(EntryParts parts, Home home) {
        node = parts.node();
        this.home = home;
        sessions = parts.sessions();
        schedulers = parts.schedulers();
        targets = parts.targets();
        answers = parts.answers();
        explanations = parts.explanations();
        spans = parts.spans();
        metrics = parts.metrics();
        addresses = parts.addresses();
    }

    @Override
    public void on(HomeAction.SendToOwner action) {
        Frame frame = action.frame();
        if (frame.hasEnqueue()) {
            String parent = spans.queueParent(frame.getEnqueue().getRequest());
            frame = frame.toBuilder().setTraceParent(parent).build();
        }
        schedulers.send(action.owner(), frame);
    }

    @Override
    public void on(HomeAction.Dispatch action) {
        targets.dispatch(
                action, spans.targetParent(action.sequence(), action.location().target()));
    }

    @Override
    public void on(HomeAction.ResumeStream action) {
        targets.resume(action);
    }

    @Override
    public void on(HomeAction.CancelAtTarget action) {
        targets.cancel(action);
    }

    @Override
    public void on(HomeAction.ReleaseConnection action) {
        targets.release(action.sequence());
    }

    @Override
    public void on(HomeAction.AnswerHead action) {
        Optional<CallerSession> session = sessions.find(action.caller());
        if (session.isEmpty()) {
            return;
        }
        Receipt receipt = new Receipt(
                action.location().target(),
                action.location().address(),
                action.location().port(),
                action.location().stream(),
                action.organisation());
        Head.Builder head = Head.newBuilder()
                .setRequestId(home.requestId(action.sequence()))
                .setTarget(action.location().target());
        node.document().ifPresent(document -> head.setReceipt(receipt.seal(new SealingKeys(document.sealingKeys()))));
        session.get().head(head.build());
    }

    @Override
    public void on(HomeAction.AnswerToken action) {
        sessions.find(action.caller()).ifPresent(session -> session.token(action.index(), action.text()));
    }

    @Override
    public void on(HomeAction.AnswerBody action) {
        String requestId = home.requestId(action.sequence());
        sessions.remove(action.caller())
                .ifPresent(session -> session.body(requestId, action.target(), action.answer()));
    }

    @Override
    public void on(HomeAction.AnswerEnd action) {
        String requestId = home.requestId(action.sequence());
        sessions.remove(action.caller()).ifPresent(session -> session.end(requestId, action.target(), action.tokens()));
    }

    @Override
    public void on(HomeAction.AnswerError action) {
        sessions.remove(action.caller()).ifPresent(session -> tellError(session, action.sequence(), action.outcome()));
    }

    @Override
    public void on(HomeAction.CutAnswer action) {
        ErrorKind kind = action.outcome().error().orElse(ErrorKind.INTERNAL);
        AnswerError error = Errors.of(action.outcome(), home.requestId(action.sequence()), List.of());
        sessions.remove(action.caller()).ifPresent(session -> session.cutOff(kind, error));
    }

    @Override
    public void on(HomeAction.ReplayAnswer action) {
        Optional<CallerSession> session = sessions.remove(action.caller());
        if (session.isEmpty()) {
            return;
        }
        Optional<Answer> answer = answers.find(action.sequence());
        if (answer.isEmpty()) {
            Outcome dropped = Outcome.failed(
                    ErrorKind.ANSWER_DROPPED,
                    EntryText.get("the-answer-is-no-longer-kept"),
                    0,
                    action.outcome().target());
            tellError(session.get(), action.sequence(), dropped);
            return;
        }
        replay(session.get(), action, answer.get());
    }

    @Override
    public void on(HomeAction.AnswerState action) {
        Outcome outcome = action.outcome();
        RequestState state = RequestState.newBuilder()
                .setRequestId(home.requestId(action.sequence()))
                .setState(state(action.phase(), outcome))
                .setRan(ran(action.phase(), outcome))
                .setError(outcome.error().map(ErrorKind::wireName).orElse(""))
                .setTarget(outcome.target())
                .setTokens(outcome.tokens())
                .build();
        sessions.remove(action.caller()).ifPresent(session -> session.state(state));
    }

    @Override
    public void on(HomeAction.CacheAnswer action) {
        answers.keep(action.sequence(), action.answer());
    }

    @Override
    public void on(HomeAction.Note action) {
        explanations.add(
                home.requestId(action.sequence()),
                action.note().wireName(),
                action.detail(),
                System.currentTimeMillis());
        if (action.note() == HomeNote.ACCEPTED) {
            spans.began(action.sequence());
        }
    }

    @Override
    public void on(HomeAction.RecordMetrics action) {
        spans.ended(action.sequence(), action.outcome());
        metrics.ended(home.requestId(action.sequence()), action);
    }

    private void tellError(CallerSession session, long sequence, Outcome outcome) {
        ErrorKind kind = outcome.error().orElse(ErrorKind.INTERNAL);
        List<EntryAddress> elsewhere = kind == ErrorKind.HOST_LEAVING || kind == ErrorKind.HOST_FULL
                ? addresses.others(node.settings().getHost())
                : List.of();
        String requestId = sequence == 0 ? "" : home.requestId(sequence);
        session.error(kind, Errors.of(outcome, requestId, elsewhere));
    }

    private void replay(CallerSession session, HomeAction.ReplayAnswer action, Answer answer) {
        String requestId = home.requestId(action.sequence());
        String target = action.outcome().target();
        if (answer.texts().isEmpty()) {
            session.body(requestId, target, answer);
            return;
        }
        session.head(Head.newBuilder().setRequestId(requestId).setTarget(target).build());
        for (int index = action.fromIndex(); index < answer.texts().size(); index++) {
            session.token(index, answer.texts().get(index));
        }
        session.end(requestId, target, answer.texts().size());
    }

    private static String state(RequestPhase phase, Outcome outcome) {
        if (phase != RequestPhase.ENDED) {
            return phase.wireName();
        }
        return outcome.error().isPresent() ? FAILED : COMPLETED;
    }

    private static String ran(RequestPhase phase, Outcome outcome) {
        boolean waiting = phase == RequestPhase.WAITING || phase == RequestPhase.GRANTED;
        return waiting ? "" : outcome.ran().wireName();
    }
}
