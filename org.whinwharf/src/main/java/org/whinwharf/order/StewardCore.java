package org.whinwharf.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.order.internal.EngineTracker;
import org.whinwharf.order.internal.Tenure;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.status.EngineStatus;

/**
 * Decides what one steward reads and orders.
 *
 * <p>Stewards do not talk to each other. Two that hold different lists both take themselves for the steward of a
 * target: where the engine checks fencing numbers, the one with the later list wins, since its number is higher. Where
 * the engine ignores them, the later one waits until the earlier one has certainly stopped: the earlier one orders only
 * while its list is fresh by its own clock.
 *
 * <p>Holds no clock, socket or thread. Not safe for use by several threads.
 */
public final class StewardCore {
    /** Longest time from a decision to the sending of its order. */
    public static final long MAX_SEND_DELAY_MILLIS = 500;

    private final String selfHost;
    private final long orderTimeoutMillis;
    private final WeightStoreRateLimiter loadRateLimiter;
    private final Tenure tenure = new Tenure();
    private final Map<String, EngineTracker> engines = new TreeMap<>();
    private Membership membership;
    private DocumentView document;

    /**
     * Makes a steward that knows nothing.
     *
     * @param selfHost name of this host
     * @param orderMillis longest that an order may take
     * @param loadsPerSecond loads that the weight store bears a second, over the whole fleet
     */
    public StewardCore(String selfHost, long orderMillis, double loadsPerSecond) {
        this.selfHost = selfHost;
        this.orderTimeoutMillis = orderMillis;
        this.loadRateLimiter = new WeightStoreRateLimiter(loadsPerSecond);
    }

    /**
     * Takes another host list or document.
     *
     * @param newMembership hosts
     * @param newDocument document in force
     * @param nowMillis monotonic clock
     */
    public void update(Membership newMembership, DocumentView newDocument, long nowMillis) {
        if (membership != null && newMembership.revision() < membership.revision()) {
            // The fencing number must not fall, or an engine that checks it would refuse every order from here.
            return;
        }
        membership = newMembership;
        document = newDocument;
        List<String> all = new ArrayList<>();
        Map<String, Host> own = new HashMap<>();
        for (Host target : engineHosts()) {
            all.add(target.getName());
            if (isAssignedToThisHost(target)) {
                own.put(target.getName(), target);
            }
        }
        engines.keySet().retainAll(own.keySet());
        own.forEach(this::addOrUpdateEngine);
        tenure.update(membership.revision(), own.keySet(), nowMillis);
        loadRateLimiter.updateTargets(all, own.keySet(), nowMillis);
    }

    /**
     * Returns the revision that the decisions are based on.
     *
     * @return revision of the host list; 0 before the first one
     */
    public long revision() {
        return membership == null ? 0 : membership.revision();
    }

    /**
     * Takes a reading of an engine.
     *
     * @param target name of the engine
     * @param state its state
     * @param nowMillis monotonic clock
     */
    public void stateRead(String target, EngineState state, long nowMillis) {
        findEngine(target).ifPresent(engine -> engine.stateRead(state, nowMillis));
    }

    /**
     * Takes the failure of a reading.
     *
     * @param target name of the engine
     * @param reason why, in words
     */
    public void readFailed(String target, String reason) {
        findEngine(target).ifPresent(engine -> engine.readFailed(reason));
    }

    /**
     * Takes what became of an order.
     *
     * @param target name of the engine
     * @param outcome what became of it
     * @param nowMillis monotonic clock
     */
    public void orderFinished(String target, OrderOutcome outcome, long nowMillis) {
        findEngine(target).ifPresent(engine -> engine.orderFinished(outcome, nowMillis, orderTimeoutMillis));
    }

    /**
     * Decides what to do now.
     *
     * @param nowMillis monotonic clock
     * @param unixMillis wall clock; it only places turns at the weight store
     * @param listHeardAtMillis monotonic clock when the list of {@link #revision} was last confirmed; empty when it is
     *     not in force any more
     * @return readings and orders
     */
    public List<StewardAction> tick(long nowMillis, long unixMillis, OptionalLong listHeardAtMillis) {
        List<StewardAction> actions = new ArrayList<>();
        if (membership == null) {
            return actions;
        }
        if (isListFresh(nowMillis, listHeardAtMillis)) {
            planOrders(nowMillis, unixMillis, actions);
        }
        for (EngineTracker engine : engines.values()) {
            if (engine.startReadIfDue(nowMillis)) {
                actions.add(new StewardAction.ReadState(engine.target()));
            }
        }
        return actions;
    }

    /**
     * Tells right before the sending whether an order may still be sent.
     *
     * <p>The process may have been paused since the decision. When it wakes it still believes what it decided; only its
     * own clock tells that others have gone on.
     *
     * @param order the order
     * @param nowMillis monotonic clock, read for this call
     * @param listHeardAtMillis monotonic clock when the list of the order's fencing number was last confirmed; empty
     *     when it is not in force any more
     * @param generationInForce generation of the document in force, read for this call
     * @return why not; empty when it may be sent
     */
    public Optional<WithholdReason> withholdReason(
            PlannedOrder order, long nowMillis, OptionalLong listHeardAtMillis, long generationInForce) {
        if (nowMillis - order.plannedAtMillis() > MAX_SEND_DELAY_MILLIS) {
            return Optional.of(WithholdReason.TOO_LATE);
        }
        if (!isListFresh(nowMillis, listHeardAtMillis)) {
            return Optional.of(WithholdReason.LIST_STALE);
        }
        if (order.fencingNumber() != membership.revision()) {
            return Optional.of(WithholdReason.LIST_CHANGED);
        }
        return order.generation() == generationInForce
                ? Optional.empty()
                : Optional.of(WithholdReason.DOCUMENT_CHANGED);
    }

    /**
     * Describes the engines of this steward to operators.
     *
     * @return one entry for each
     */
    public List<EngineStatus> status() {
        return engines.values().stream().map(this::status).toList();
    }

    private EngineStatus status(EngineTracker engine) {
        return EngineStatus.newBuilder()
                .setTarget(engine.target().getName())
                .setState(engine.stateName())
                .setFencingNumber(membership.revision())
                .addAllMissing(
                        engine.missingSteps().stream().map(OrderStep::describe).toList())
                .build();
    }

    private void planOrders(long nowMillis, long unixMillis, List<StewardAction> actions) {
        List<EngineTracker> loads = new ArrayList<>();
        for (EngineTracker engine : engines.values()) {
            if (!mayOrder(engine, nowMillis)) {
                continue;
            }
            Optional<OrderStep> step = engine.nextStep(membership.revision(), nowMillis);
            if (step.isPresent() && step.get().kind().readsWeights()) {
                loads.add(engine);
            } else {
                step.ifPresent(each -> actions.add(planOrder(engine, each, nowMillis)));
            }
        }
        loads.sort(this::comparePriority);
        for (EngineTracker neediest : loads) {
            if (!loadRateLimiter.tryAcquire(nowMillis, unixMillis)) {
                return;
            }
            neediest.nextStep(membership.revision(), nowMillis)
                    .ifPresent(step -> actions.add(planOrder(neediest, step, nowMillis)));
        }
    }

    private StewardAction planOrder(EngineTracker engine, OrderStep step, long nowMillis) {
        PlannedOrder order =
                new PlannedOrder(engine.target(), step, membership.revision(), document.generation(), nowMillis);
        engine.orderPlanned(order);
        return new StewardAction.SendOrder(order);
    }

    private boolean mayOrder(EngineTracker engine, long nowMillis) {
        Host target = engine.target();
        boolean checks = document.service(target.getTarget().getService())
                .map(ServiceSpec::getChecksFencing)
                .orElse(false);
        long takeoverMillis =
                TakeoverTiming.of(document.timing(), orderTimeoutMillis).takeoverDelayMillis();
        return checks || tenure.durationMillis(target.getName(), nowMillis) >= takeoverMillis;
    }

    private int comparePriority(EngineTracker one, EngineTracker other) {
        return Comparator.comparing((EngineTracker engine) ->
                        !membership.isInService(engine.target().getDataCentre()))
                .thenComparing(EngineTracker::loadPriority)
                .thenComparing(engine -> engine.target().getName())
                .compare(one, other);
    }

    private boolean isListFresh(long nowMillis, OptionalLong listHeardAtMillis) {
        return listHeardAtMillis.isPresent()
                && nowMillis - listHeardAtMillis.getAsLong() <= TakeoverTiming.MAX_LIST_AGE_MILLIS;
    }

    private Set<Host> engineHosts() {
        Set<Host> hosts = new HashSet<>();
        membership.slices().forEach(slice -> {
            if (document.service(slice.getService())
                    .filter(service -> service.getKind() == ServiceKind.ENGINE)
                    .isPresent()) {
                hosts.addAll(membership.targets(slice));
            }
        });
        return hosts;
    }

    private boolean isAssignedToThisHost(Host target) {
        return target.getState() == HostState.LIVE
                && DesiredEngineState.of(document, target).isPresent()
                && StewardSelector.stewardOf(target, membership)
                        .filter(host -> host.getName().equals(selfHost))
                        .isPresent();
    }

    private void addOrUpdateEngine(String name, Host target) {
        EngineTracker engine = engines.computeIfAbsent(name, key -> new EngineTracker(target));
        engine.update(target, DesiredEngineState.of(document, target).orElseThrow());
    }

    private Optional<EngineTracker> findEngine(String target) {
        return Optional.ofNullable(engines.get(target));
    }
}
