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
 * Decides which engines a steward reads and which orders it sends.
 *
 * <p>Stewards do not communicate, and two stewards with different host lists can both act for one target. Where the
 * engine checks fencing numbers, the steward with the later list prevails because its number is higher. Where the
 * engine ignores them, the new steward waits until its predecessor has certainly stopped: a steward sends orders only
 * while its host list is fresh on its own monotonic clock.
 *
 * <p>Uses no clock, socket or thread of its own. Not thread-safe.
 */
public final class StewardCore {
    /** Longest time between the decision on an order and its sending. */
    public static final long MAX_SEND_DELAY_MILLIS = 500;

    private final String localHost;
    private final long orderTimeoutMillis;
    private final WeightStoreRateLimiter loadRateLimiter;
    private final Tenure tenure = new Tenure();
    private final Map<String, EngineTracker> engines = new TreeMap<>();
    private Membership membership;
    private DocumentView document;

    /**
     * Creates a steward without host list and document, which plans no actions.
     *
     * @param localHost name of this host
     * @param orderTimeoutMillis longest time that an order takes
     * @param loadsPerSecond loads per second that the weight store supports, over the whole fleet
     */
    public StewardCore(String localHost, long orderTimeoutMillis, double loadsPerSecond) {
        this.localHost = localHost;
        this.orderTimeoutMillis = orderTimeoutMillis;
        this.loadRateLimiter = new WeightStoreRateLimiter(loadsPerSecond);
    }

    /**
     * Updates the host list and the document. Ignores a host list with a lower revision than the current one, together
     * with its document.
     *
     * @param newMembership view of the host list
     * @param newDocument document in force
     * @param nowMillis current time, on the monotonic clock
     */
    public void update(Membership newMembership, DocumentView newDocument, long nowMillis) {
        if (membership != null && newMembership.revision() < membership.revision()) {
            // The fencing number must not decrease, because an engine that checks it would reject every order of this
            // steward.
            return;
        }
        membership = newMembership;
        document = newDocument;
        List<String> allEngines = new ArrayList<>();
        Map<String, Host> localEngines = new HashMap<>();
        for (Host target : engineHosts()) {
            allEngines.add(target.getName());
            if (isAssignedToThisHost(target)) {
                localEngines.put(target.getName(), target);
            }
        }
        engines.keySet().retainAll(localEngines.keySet());
        localEngines.forEach(this::addOrUpdateEngine);
        tenure.update(membership.revision(), localEngines.keySet(), nowMillis);
        loadRateLimiter.updateTargets(allEngines, localEngines.keySet(), nowMillis);
    }

    /**
     * Returns the revision of the host list that decisions are based on. Orders carry it as their fencing number.
     *
     * @return revision of the host list; 0 before the first one
     */
    public long revision() {
        return membership == null ? 0 : membership.revision();
    }

    /**
     * Records the state that was read from an engine. Ignored when this process is no longer its steward.
     *
     * @param target name of the engine
     * @param state state of the engine
     * @param nowMillis current time, on the monotonic clock
     */
    public void stateRead(String target, EngineState state, long nowMillis) {
        findEngine(target).ifPresent(engine -> engine.stateRead(state, nowMillis));
    }

    /**
     * Records that an engine could not be read. Ignored when this process is no longer its steward.
     *
     * @param target name of the engine
     * @param reason description of the failure
     */
    public void readFailed(String target, String reason) {
        findEngine(target).ifPresent(engine -> engine.readFailed(reason));
    }

    /**
     * Records the outcome of an order. Ignored when this process is no longer the engine's steward.
     *
     * @param target name of the engine
     * @param outcome outcome of the order
     * @param nowMillis current time, on the monotonic clock
     */
    public void orderFinished(String target, OrderOutcome outcome, long nowMillis) {
        findEngine(target).ifPresent(engine -> engine.orderFinished(outcome, nowMillis, orderTimeoutMillis));
    }

    /**
     * Returns the actions that are due now. Plans orders only while the host list is fresh.
     *
     * @param nowMillis current time, on the monotonic clock
     * @param unixMillis current time, on the wall clock; used only to place the time slots of the weight store
     * @param listConfirmedAtMillis time at which the list of {@link #revision} was last confirmed, on the monotonic
     *     clock; empty when that list is no longer in force
     * @return orders and reads to execute
     */
    public List<StewardAction> tick(long nowMillis, long unixMillis, OptionalLong listConfirmedAtMillis) {
        List<StewardAction> actions = new ArrayList<>();
        if (membership == null) {
            return actions;
        }
        if (isListFresh(nowMillis, listConfirmedAtMillis)) {
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
     * Checks just before sending whether an order may still be sent.
     *
     * <p>The process may have been paused between the decision and the sending, while another steward took over. After
     * the pause only the process's own clock shows that its decision is outdated.
     *
     * @param order planned order
     * @param nowMillis current time, on the monotonic clock, read for this call
     * @param listConfirmedAtMillis time at which the list of the order's fencing number was last confirmed, on the
     *     monotonic clock; empty when that list is no longer in force
     * @param generationInForce generation of the document in force, read for this call
     * @return reason to withhold the order; empty when it may be sent
     */
    public Optional<WithholdReason> withholdReason(
            PlannedOrder order, long nowMillis, OptionalLong listConfirmedAtMillis, long generationInForce) {
        if (nowMillis - order.plannedAtMillis() > MAX_SEND_DELAY_MILLIS) {
            return Optional.of(WithholdReason.TOO_LATE);
        }
        if (!isListFresh(nowMillis, listConfirmedAtMillis)) {
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
     * Returns the status of this steward's engines for the status page and metrics.
     *
     * @return one entry per engine, sorted by name
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
        List<EngineTracker> enginesToLoad = new ArrayList<>();
        for (EngineTracker engine : engines.values()) {
            if (!mayOrder(engine, nowMillis)) {
                continue;
            }
            Optional<OrderStep> step = engine.nextStep(membership.revision(), nowMillis);
            if (step.isPresent() && step.get().kind().readsWeights()) {
                enginesToLoad.add(engine);
            } else {
                step.ifPresent(each -> actions.add(planOrder(engine, each, nowMillis)));
            }
        }
        enginesToLoad.sort(this::comparePriority);
        for (EngineTracker engine : enginesToLoad) {
            if (!loadRateLimiter.tryAcquire(nowMillis, unixMillis)) {
                return;
            }
            engine.nextStep(membership.revision(), nowMillis)
                    .ifPresent(step -> actions.add(planOrder(engine, step, nowMillis)));
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
        boolean checksFencing = document.service(target.getTarget().getService())
                .map(ServiceSpec::getChecksFencing)
                .orElse(false);
        long takeoverDelayMillis =
                TakeoverTiming.of(document.timing(), orderTimeoutMillis).takeoverDelayMillis();
        return checksFencing || tenure.durationMillis(target.getName(), nowMillis) >= takeoverDelayMillis;
    }

    private int comparePriority(EngineTracker one, EngineTracker other) {
        return Comparator.comparing((EngineTracker engine) ->
                        !membership.isInService(engine.target().getDataCentre()))
                .thenComparing(EngineTracker::loadPriority)
                .thenComparing(engine -> engine.target().getName())
                .compare(one, other);
    }

    private boolean isListFresh(long nowMillis, OptionalLong listConfirmedAtMillis) {
        return listConfirmedAtMillis.isPresent()
                && nowMillis - listConfirmedAtMillis.getAsLong() <= TakeoverTiming.MAX_LIST_AGE_MILLIS;
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
                        .filter(host -> host.getName().equals(localHost))
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
