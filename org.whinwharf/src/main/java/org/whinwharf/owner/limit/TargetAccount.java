package org.whinwharf.owner.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.Timings;
import org.whinwharf.owner.placement.CachedPrefixes;
import org.whinwharf.owner.placement.TargetSpeed;
import org.whinwharf.owner.queue.WaitingRequest;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.schema.Limits;
import org.whinwharf.wire.schema.TargetLoad;

/** Records one target for the owner of its slice: concurrency limit, speed, cached prefixes and requests in flight. */
public final class TargetAccount {
    private static final int MIN_QUEUED_READINGS = 3;
    // Targets report with a delay and may report the same measurement several times.
    private static final long MIN_READING_INTERVAL_MILLIS = 100;

    private static final long NONE = Long.MIN_VALUE;

    private final String name;
    private final ConcurrencyLimit limit;
    private final TargetSpeed speed = new TargetSpeed();
    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final List<Slot> slots = new ArrayList<>();
    private final ForeignLoadEstimator foreignLoad = new ForeignLoadEstimator();
    private LoadReading latest;
    private int queuedReadings;
    private int maxRunning;
    private long lastQueuedReadingMillis;
    private long suspectSinceMillis = NONE;

    /**
     * Creates the account of a target about which nothing is known.
     *
     * @param name name of the target
     * @param limits bounds from the document
     */
    public TargetAccount(String name, Limits limits) {
        this.name = name;
        this.limit = new ConcurrencyLimit(limits);
    }

    /**
     * Returns the name of the target.
     *
     * @return name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the learned limit.
     *
     * @return limit
     */
    public ConcurrencyLimit limit() {
        return limit;
    }

    /**
     * Returns the learned speed.
     *
     * @return speed
     */
    public TargetSpeed speed() {
        return speed;
    }

    /**
     * Returns the prompt prefixes that the target's cache is assumed to hold.
     *
     * @return prefixes
     */
    public CachedPrefixes prefixes() {
        return prefixes;
    }

    /**
     * Returns the latest load reading.
     *
     * @return reading; empty when there is none since the target was last lost sight of
     */
    public Optional<LoadReading> lastReading() {
        return Optional.ofNullable(latest);
    }

    /**
     * Returns the number of granted requests that have not ended.
     *
     * @return number of slots taken
     */
    public int inFlight() {
        return slots.size();
    }

    /**
     * Returns whether the target serves a model.
     *
     * @param model name of the model; empty when the request does not name one
     * @return false only when the target reported its models and this one is not among them
     */
    public boolean serves(String model) {
        return model.isEmpty()
                || latest == null
                || latest.models().isEmpty()
                || latest.models().contains(model);
    }

    /**
     * Returns how many more requests may be granted.
     *
     * @param share part of the limit that the owner may use
     * @param timings timings of the current document
     * @param nowMillis current time
     * @return free slots; 0 while the target has no current load reading
     */
    public int freeSlots(UsableShare share, Timings timings, long nowMillis) {
        if (!hasCurrentLoad(timings, nowMillis)) {
            return 0;
        }
        int limitValue = limit.value();
        int usable = share.usableSlots(limitValue, latest.earliestMillis());
        int foreignRequests =
                Math.max(foreignLoad.upperBound(limitValue, share), foreignLoad.lowerBound(latest, slots.size()));
        return Math.max(0, Math.min(usable, limitValue - Math.min(limitValue, foreignRequests)) - slots.size());
    }

    /**
     * Returns whether the latest load reading is recent enough and newer than the last failure.
     *
     * @param timings timings of the current document
     * @param nowMillis current time
     * @return false when no request may be granted to the target
     */
    public boolean hasCurrentLoad(Timings timings, long nowMillis) {
        return latest != null
                && latest.earliestMillis() >= nowMillis - timings.maxLoadAgeMillis()
                && latest.earliestMillis() > suspectSinceMillis;
    }

    /**
     * Takes a slot.
     *
     * @param waiting the granted request
     * @param grant id of the grant
     * @param limitReached true when this takes the last free slot
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void grant(WaitingRequest waiting, long grant, boolean limitReached, Timings timings, long nowMillis) {
        long latestArrivalMillis = nowMillis + timings.grantExpiryMillis();
        slots.add(new Slot(
                waiting.home(), waiting.request(), grant, nowMillis, latestArrivalMillis, waiting, limitReached));
    }

    /**
     * Takes a slot for a request that a home reports in flight under an earlier owner's grant, unless it already has
     * one.
     *
     * @param home home of the request
     * @param request id of the request at its home
     * @param nowMillis current time
     */
    public void adopt(ProcessId home, long request, long nowMillis) {
        if (slots.stream().noneMatch(slot -> slot.home().equals(home) && slot.request() == request)) {
            slots.add(new Slot(home, request, 0, nowMillis, nowMillis, null, false));
        }
    }

    /**
     * Frees the slot of a request that has ended and updates the limit and the speed from its result.
     *
     * @param home home of the request
     * @param finished result reported by the home
     * @param timings timings of the current document
     * @param nowMillis current time
     * @return the slot; empty when the request had none
     */
    public Optional<Slot> finish(ProcessId home, Finished finished, Timings timings, long nowMillis) {
        Optional<Slot> found = slots.stream()
                .filter(slot -> slot.home().equals(home)
                        && slot.request() == finished.getRequest()
                        && (slot.grant() == finished.getGrant() || slot.grant() == 0))
                .findFirst();
        found.ifPresent(slot -> end(slot, finished, timings, nowMillis));
        return found;
    }

    /**
     * Marks the slots of a disconnected home as orphaned. They stay taken until the grants have certainly expired; from
     * then on the requests count as foreign load, which only a load reading can show to have ended.
     *
     * @param home home of the request
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void orphan(ProcessId home, Timings timings, long nowMillis) {
        orphan(slot -> slot.home().equals(home), timings, nowMillis);
    }

    /**
     * Marks the slot of a request as orphaned because its home has queued the request again, so it did not receive or
     * use the grant.
     *
     * @param home home of the request
     * @param request id of the request at its home
     * @param timings timings of the current document
     * @param nowMillis current time
     */
    public void orphan(ProcessId home, long request, Timings timings, long nowMillis) {
        orphan(slot -> slot.home().equals(home) && slot.request() == request, timings, nowMillis);
    }

    /**
     * Frees orphaned slots whose grants have certainly expired.
     *
     * @param nowMillis current time
     */
    public void expireOrphans(long nowMillis) {
        int before = slots.size();
        slots.removeIf(slot -> slot.orphanExpiryMillis() <= nowMillis);
        int abandoned = before - slots.size();
        if (abandoned > 0) {
            foreignLoad.addAbandoned(abandoned);
        }
    }

    /**
     * Marks the grants that may still be unused as recalled, and returns those not recalled before.
     *
     * @param nowMillis current time
     * @return slots whose grants are to be recalled
     */
    public List<Slot> recallUnused(long nowMillis) {
        List<Slot> unused = slots.stream()
                .filter(slot -> !slot.recalled() && nowMillis < slot.latestArrivalMillis())
                .toList();
        unused.forEach(Slot::recall);
        return unused;
    }

    /**
     * Returns whether any grant may still be unused.
     *
     * @param nowMillis current time
     * @return true when at least one grant has not certainly been used
     */
    public boolean hasUnusedGrants(long nowMillis) {
        return slots.stream().anyMatch(slot -> nowMillis < slot.latestArrivalMillis());
    }

    /**
     * Adds a load reading; one that is older than the latest reading is ignored.
     *
     * @param load response of the target
     * @param requestedAtMillis when the load was requested
     * @param receivedAtMillis when the response was received
     * @param timings timings of the current document
     */
    public void addReading(TargetLoad load, long requestedAtMillis, long receivedAtMillis, Timings timings) {
        LoadReading reading = LoadReading.of(load, requestedAtMillis, receivedAtMillis);
        if (latest != null && reading.earliestMillis() < latest.earliestMillis()) {
            return;
        }
        if (latest != null && latest.startNumber() != reading.startNumber()) {
            restarted();
        }
        latest = reading;
        updateQueuedReadings(reading);
        foreignLoad.addReading(reading, slots, timings);
    }

    // A request that has just arrived is briefly reported as queued although a slot is free. If a single such reading
    // counted, the limit would drop with it and engines would run at half their capacity. So the limit drops only
    // after several successive readings with a queue, and to the largest number of running requests among them.
    private void updateQueuedReadings(LoadReading reading) {
        if (reading.queued() == 0) {
            queuedReadings = 0;
            maxRunning = 0;
            return;
        }
        if (queuedReadings > 0 && reading.earliestMillis() - lastQueuedReadingMillis < MIN_READING_INTERVAL_MILLIS) {
            return;
        }
        lastQueuedReadingMillis = reading.earliestMillis();
        queuedReadings++;
        maxRunning = Math.max(maxRunning, reading.total() - reading.queued());
        if (queuedReadings >= MIN_QUEUED_READINGS) {
            limit.onQueued(maxRunning);
        }
    }

    /** Records that the load of the target could not be read; no request is granted until a later reading succeeds. */
    public void loadUnavailable() {
        if (latest != null) {
            suspectSinceMillis = Math.max(suspectSinceMillis, latest.earliestMillis());
        }
    }

    /** Resets the limit to cold, for a target that returns to service and may have been restarted meanwhile. */
    public void returnToService() {
        limit.resetToCold();
    }

    private void restarted() {
        queuedReadings = 0;
        maxRunning = 0;
        limit.resetToCold();
        prefixes.clear();
        foreignLoad.reset();
    }

    private void orphan(Predicate<Slot> which, Timings timings, long nowMillis) {
        long expiryMillis = nowMillis + timings.grantExpiryMillis();
        slots.stream().filter(which).forEach(slot -> slot.orphan(expiryMillis));
    }

    private void end(Slot slot, Finished finished, Timings timings, long nowMillis) {
        slots.remove(slot);
        boolean unused = finished.getKind() == FinishKind.UNUSED;
        foreignLoad.addEnded(slot, finished.getTotalMillis(), !unused, nowMillis);
        if (unused && slot.latestArrivalMillis() <= nowMillis) {
            // Readings after the expiry of the grant counted it as arrived, although it was never sent.
            foreignLoad.addAbandoned(1);
        }
        learn(slot, finished, nowMillis);
    }

    private void learn(Slot slot, Finished finished, long nowMillis) {
        switch (finished.getKind()) {
            case COMPLETED -> completed(slot, finished, nowMillis);
            case REFUSED_BY_TARGET -> {
                limit.onRefused();
                suspectSinceMillis = nowMillis;
            }
            case FAILED -> suspectSinceMillis = nowMillis;
            case LOST -> {
                // The connection failed, but the target may still run the request; only a later reading shows whether
                // it does.
                foreignLoad.addAbandoned(1);
                suspectSinceMillis = nowMillis;
            }
            default -> {
                // A cancelled request or an unused grant says nothing about the target.
            }
        }
    }

    private void completed(Slot slot, Finished finished, long nowMillis) {
        CompletionSample sample = new CompletionSample(
                finished.getFirstTokenMillis(),
                finished.getTotalMillis(),
                finished.getPrefillTokens(),
                finished.getPromptTokens(),
                finished.getAnswerTokens());
        limit.onCompleted(sample, slot.limitReached());
        speed.addSample(sample, nowMillis);
        if (slot.waiting() != null) {
            prefixes.addServed(slot.waiting().prefixes());
        }
    }
}
