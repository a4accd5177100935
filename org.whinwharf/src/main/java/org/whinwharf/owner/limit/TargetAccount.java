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

/** What the owner of a slice knows of one target: its limit, its speed and what is in flight there. */
public final class TargetAccount {
    private static final int MIN_QUEUED_READINGS = 3;
    // Targets report late and may tell the same measurement several times.
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
     * Creates the account of a target of which nothing is known.
     *
     * @param name name of the target
     * @param limits bounds of the document
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
     * Returns the prefixes that the target's cache is believed to hold.
     *
     * @return prefixes
     */
    public CachedPrefixes prefixes() {
        return prefixes;
    }

    /**
     * Returns the last load reading.
     *
     * @return reading; empty when there is none since the target was last lost sight of
     */
    public Optional<LoadReading> lastReading() {
        return Optional.ofNullable(latest);
    }

    /**
     * Returns the number of requests that this owner granted and that have not ended.
     *
     * @return slots taken
     */
    public int inFlight() {
        return slots.size();
    }

    /**
     * Tells whether the target serves a model.
     *
     * @param model name of the model; empty when the request names none
     * @return false only when the target named its models and this is none of them
     */
    public boolean serves(String model) {
        return model.isEmpty()
                || latest == null
                || latest.models().isEmpty()
                || latest.models().contains(model);
    }

    /**
     * Returns how many more requests may be granted now.
     *
     * @param share part of the limit that the owner may use
     * @param timings times in force
     * @param nowMillis time now
     * @return free slots; 0 while the target is unknown
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
     * Tells whether the last reading is young enough and no failure came after it.
     *
     * @param timings times in force
     * @param nowMillis time now
     * @return false when nothing may be sent to the target
     */
    public boolean hasCurrentLoad(Timings timings, long nowMillis) {
        return latest != null
                && latest.earliestMillis() >= nowMillis - timings.maxLoadAgeMillis()
                && latest.earliestMillis() > suspectSinceMillis;
    }

    /**
     * Takes a slot.
     *
     * @param waiting the request
     * @param grant id of the grant
     * @param limitReached true when this uses up the limit
     * @param timings times in force
     * @param nowMillis time now
     */
    public void grant(WaitingRequest waiting, long grant, boolean limitReached, Timings timings, long nowMillis) {
        long latestArrivalMillis = nowMillis + timings.grantExpiryMillis();
        slots.add(new Slot(
                waiting.home(), waiting.request(), grant, nowMillis, latestArrivalMillis, waiting, limitReached));
    }

    /**
     * Counts a request that a home says is in flight from an earlier owner's grant, unless it is counted already.
     *
     * @param home the home
     * @param request the request's id there
     * @param nowMillis time now
     */
    public void adopt(ProcessId home, long request, long nowMillis) {
        if (slots.stream().noneMatch(slot -> slot.home().equals(home) && slot.request() == request)) {
            slots.add(new Slot(home, request, 0, nowMillis, nowMillis, null, false));
        }
    }

    /**
     * Frees the slot of a request that has ended and learns from it.
     *
     * @param home the home
     * @param finished what the home says
     * @param timings times in force
     * @param nowMillis time now
     * @return the slot; empty when none was counted for it
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
     * Notes that a home is lost. Its requests stay counted; once its grants have surely run out they are counted as
     * work of others, which only a load reading can show to be gone.
     *
     * @param home the home
     * @param timings times in force
     * @param nowMillis time now
     */
    public void orphan(ProcessId home, Timings timings, long nowMillis) {
        orphan(slot -> slot.home().equals(home), timings, nowMillis);
    }

    /**
     * Notes that a home waits again for a request that was granted, so that it never used or saw that grant.
     *
     * @param home the home
     * @param request the request's id there
     * @param timings times in force
     * @param nowMillis time now
     */
    public void orphan(ProcessId home, long request, Timings timings, long nowMillis) {
        orphan(slot -> slot.home().equals(home) && slot.request() == request, timings, nowMillis);
    }

    /**
     * Gives up orphans whose grants have surely run out.
     *
     * @param nowMillis time now
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
     * Returns the grants that may still be unused, each only once.
     *
     * @param nowMillis time now
     * @return slots to call back
     */
    public List<Slot> recallUnused(long nowMillis) {
        List<Slot> unused = slots.stream()
                .filter(slot -> !slot.recalled() && nowMillis < slot.latestArrivalMillis())
                .toList();
        unused.forEach(Slot::recall);
        return unused;
    }

    /**
     * Tells whether a grant may still be unused.
     *
     * @param nowMillis time now
     * @return true when one may
     */
    public boolean hasUnusedGrants(long nowMillis) {
        return slots.stream().anyMatch(slot -> nowMillis < slot.latestArrivalMillis());
    }

    /**
     * Takes in a load reading.
     *
     * @param load the target's answer
     * @param requestedAtMillis when it was asked
     * @param receivedAtMillis when the answer came
     * @param timings times in force
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

    // A request that has just arrived shows as queued for a moment although a place is free. Were a single reading
    // believed, the limit would fall whenever one is taken at such a moment, and engines would stand half idle; so only
    // a queue that several readings in a row show counts, and the most that ran meanwhile.
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

    /** Notes that the target's load could not be read; nothing is granted until it can be. */
    public void loadUnavailable() {
        if (latest != null) {
            suspectSinceMillis = Math.max(suspectSinceMillis, latest.earliestMillis());
        }
    }

    /** Forgets what depends on the target having run all the time; for a target that comes back into service. */
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
            // It was subtracted from readings as surely sent, and it was not.
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
                // The link broke, the work may go on; only a reading taken from now on shows it.
                foreignLoad.addAbandoned(1);
                suspectSinceMillis = nowMillis;
            }
            default -> {
                // Cancelled or unused: says nothing of the target.
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
