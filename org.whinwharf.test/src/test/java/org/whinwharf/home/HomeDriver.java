package org.whinwharf.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.errors.Ran;
import org.whinwharf.routing.RoutingPolicy;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.StreamToken;

/** Feeds events and a clock to a home, simulates its sender, and checks the resulting actions after each event. */
final class HomeDriver {
    static final String OWNER_A = "host-a";
    static final String OWNER_B = "host-b";
    static final SliceId SLICE_A = slice("zone-a");
    static final SliceId SLICE_B = slice("zone-b");
    static final long GRANT_MILLIS = 1_000;
    static final long DEADLINE_MILLIS = 10_000;
    static final Ticket TICKET = new Ticket("home", 7, 1, 2, "orava", 600_000);

    final Home home;
    final List<HomeAction> allActions = new ArrayList<>();
    final Map<Long, Integer> finalAnswers = new HashMap<>();
    final Set<Long> sentRequests = new HashSet<>();
    final Set<Long> reportedNotRun = new HashSet<>();
    final Map<Long, HomeAction.Dispatch> pendingDispatches = new HashMap<>();
    long nowMillis = 1_000;
    View view = new View(Set.of("zone-a", "zone-b"), Set.of("engine-1", "engine-2"));
    private long lastGrant;

    HomeDriver() {
        HomeSettings settings = HomeSettings.builder()
                .host("home")
                .dataCentre("zone-a")
                .incarnation(7)
                .maxRequests(20)
                .call();
        home = new Home(settings, view, RoutingPolicy.AFFINITY, RandomSource.SPLIT_MIX_64.create(1L));
    }

    static HomeDriver withOwners() {
        HomeDriver driver = new HomeDriver();
        driver.on(new HomeEvent.OwnerConnected(OWNER_A));
        driver.on(new HomeEvent.OwnerConnected(OWNER_B));
        return driver;
    }

    List<HomeAction> on(HomeEvent event) {
        List<HomeAction> actions = home.handle(event, nowMillis);
        allActions.addAll(actions);
        actions.forEach(this::check);
        return actions;
    }

    List<HomeAction> at(long millis, HomeEvent event) {
        nowMillis = millis;
        return on(event);
    }

    List<HomeAction> submit(long caller, Submission submission) {
        return on(new HomeEvent.Submitted(caller, submission));
    }

    List<HomeAction> grant(long sequence, String owner, long echoMillis) {
        SliceId slice = owner.equals(OWNER_A) ? SLICE_A : SLICE_B;
        Grant grant = Grant.newBuilder()
                .setSlice(slice)
                .setRequest(sequence)
                .setGrant(++lastGrant)
                .setTarget(owner.equals(OWNER_A) ? "engine-1" : "engine-2")
                .setAddress("127.0.0.1")
                .setPort(1)
                .setEchoMillis(echoMillis)
                .setGoodMillis(GRANT_MILLIS)
                .build();
        return on(new HomeEvent.Granted(owner, grant));
    }

    List<HomeAction> refuse(long sequence, String owner, RefusalReason reason) {
        SliceId slice = owner.equals(OWNER_A) ? SLICE_A : SLICE_B;
        Refusal refusal = Refusal.newBuilder()
                .setSlice(slice)
                .setRequest(sequence)
                .setReason(reason)
                .build();
        return on(new HomeEvent.Refused(owner, refusal));
    }

    /** Simulates the sending thread: checks the gate of a pending dispatch, then reports the result to the home. */
    List<HomeAction> runSender(long sequence) {
        HomeAction.Dispatch dispatch = pendingDispatches.remove(sequence);
        if (dispatch == null) {
            return List.of();
        }
        if (!dispatch.gate().trySend(nowMillis)) {
            return on(new HomeEvent.NotSent(sequence));
        }
        check(sentRequests.add(sequence), "request " + sequence + " was sent twice");
        check(
                !reportedNotRun.contains(sequence),
                "request " + sequence + " was sent after its caller was told \"not run\"");
        return on(new HomeEvent.Sent(sequence));
    }

    List<HomeAction> connectFails(long sequence) {
        sentRequests.remove(sequence);
        return on(new HomeEvent.ConnectFailed(sequence));
    }

    List<HomeAction> targetRefuses(long sequence) {
        sentRequests.remove(sequence);
        return on(new HomeEvent.TargetRefused(sequence));
    }

    List<HomeAction> token(long sequence, int index, boolean last) {
        StreamToken token = StreamToken.newBuilder()
                .setIndex(index)
                .setText("t" + index)
                .setLast(last)
                .build();
        return on(new HomeEvent.TokenReceived(sequence, token));
    }

    /** Submits a request as caller 1, grants it and sends it. */
    HomeDriver sent(Submission submission) {
        submit(1, submission);
        grant(1, queuedAt(1), nowMillis);
        runSender(1);
        return this;
    }

    /** Returns the owner at which a request was queued last; empty when it was not queued. */
    String queuedAt(long sequence) {
        String owner = "";
        for (HomeAction.SendToOwner action : find(HomeAction.SendToOwner.class)) {
            if (action.frame().hasEnqueue() && action.frame().getEnqueue().getRequest() == sequence) {
                owner = action.owner();
            }
        }
        return owner;
    }

    <T extends HomeAction> List<T> find(Class<T> type) {
        return of(allActions, type).toList();
    }

    static <T extends HomeAction> Stream<T> of(List<HomeAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast);
    }

    /** Returns the wire name of the last error sent to a caller; empty when there was none. */
    String errorOf(long caller) {
        Optional<HomeAction.AnswerError> error = find(HomeAction.AnswerError.class).stream()
                .filter(action -> action.caller() == caller)
                .reduce((first, second) -> second);
        return error.map(action -> action.outcome().error().orElseThrow().wireName())
                .orElse("");
    }

    List<Finished> finished() {
        return find(HomeAction.SendToOwner.class).stream()
                .filter(action -> action.frame().hasFinished())
                .map(action -> action.frame().getFinished())
                .toList();
    }

    String textOf(long caller) {
        StringBuilder text = new StringBuilder();
        find(HomeAction.AnswerToken.class).stream()
                .filter(token -> token.caller() == caller)
                .forEach(token -> text.append(token.text()));
        return text.toString();
    }

    static Submission.Builder engineRequest() {
        return Submission.builder()
                .organisation("orava")
                .tierRank(3)
                .service("lampa-llm")
                .isEngine(true)
                .text("prompt")
                .maxTokens(10)
                .leftMillis(DEADLINE_MILLIS)
                .contentDigest(1);
    }

    static Submission.Builder booking(long number) {
        return Submission.builder()
                .organisation("orava")
                .tierRank(3)
                .service("lampa-llm")
                .isEngine(false)
                .callName("book")
                .isIdempotent(false)
                .text("{}")
                .leftMillis(DEADLINE_MILLIS)
                .contentDigest(1)
                .ticketNumber(new TicketNumber(TICKET, number));
    }

    private void check(HomeAction action) {
        if (action instanceof HomeAction.Dispatch dispatch) {
            pendingDispatches.put(dispatch.sequence(), dispatch);
        } else if (action instanceof HomeAction.AnswerError error) {
            recordFinalAnswer(error.caller());
            checkNotRunIsTrue(error);
        } else if (action instanceof HomeAction.CutAnswer cut) {
            recordFinalAnswer(cut.caller());
            check(cut.outcome().ran() != Ran.NOT_RUN, "caller was told \"not run\" of a sent request");
        } else if (action instanceof HomeAction.AnswerEnd end) {
            recordFinalAnswer(end.caller());
        } else if (action instanceof HomeAction.AnswerBody body) {
            recordFinalAnswer(body.caller());
        } else if (action instanceof HomeAction.ReplayAnswer kept) {
            recordFinalAnswer(kept.caller());
        } else if (action instanceof HomeAction.AnswerState state) {
            recordFinalAnswer(state.caller());
        }
    }

    private void checkNotRunIsTrue(HomeAction.AnswerError error) {
        String name = error.outcome().error().orElseThrow().wireName();
        boolean aboutThisRequest = error.sequence() > 0 && !name.equals("number-reused");
        if (aboutThisRequest && error.outcome().ran() == Ran.NOT_RUN) {
            check(
                    !sentRequests.contains(error.sequence()),
                    "caller was told \"not run\" of " + error.sequence() + ", which was sent: " + name);
            reportedNotRun.add(error.sequence());
        }
    }

    private void recordFinalAnswer(long caller) {
        int count = finalAnswers.merge(caller, 1, Integer::sum);
        check(count == 1, "caller " + caller + " got " + count + " final answers");
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    private static SliceId slice(String dataCentre) {
        return SliceId.newBuilder()
                .setService("lampa-llm")
                .setDataCentre(dataCentre)
                .build();
    }

    /** View of the document and the host list, as the test sets it. */
    record View(Set<String> inService, Set<String> usable) implements HomeView {
        @Override
        public boolean isInService(String dataCentre) {
            return inService.contains(dataCentre);
        }

        @Override
        public boolean isUsable(String target) {
            return usable.contains(target);
        }

        @Override
        public List<SliceId> slices(String service) {
            return List.of(SLICE_A, SLICE_B);
        }

        @Override
        public List<String> owners(SliceId slice) {
            return slice.equals(SLICE_A) ? List.of(OWNER_A, OWNER_B) : List.of(OWNER_B, OWNER_A);
        }

        @Override
        public double distanceMillis(String dataCentre) {
            return dataCentre.equals("zone-a") ? 0 : 5;
        }

        @Override
        public double retryRatio() {
            return 0.1;
        }

        @Override
        public double retryFloorPerSecond() {
            return 1;
        }
    }
}
