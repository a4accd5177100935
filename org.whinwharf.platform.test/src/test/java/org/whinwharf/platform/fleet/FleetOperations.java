package org.whinwharf.platform.fleet;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Predicate;
import org.whinwharf.platform.fleet.ContactRecord.Part;

/** Impairs fronts and the store, each for a time, and records it. */
final class FleetOperations {
    /** Faults with which the store still answers each call that it does not refuse. */
    private static final Set<StoreFault> ANSWERING =
            EnumSet.of(StoreFault.TOO_MANY, StoreFault.CLOSING, StoreFault.IN_PIECES);
    /** Faults that leave the store in service if they apply to some fronts only. */
    private static final Set<StoreFault> REFUSING = EnumSet.of(StoreFault.BUSY, StoreFault.DOWN);

    private final DeployedFleet fleet;
    private final ContactRecord contact = new ContactRecord();
    private final AtomicIntegerArray lives = new AtomicIntegerArray(DeployedFleet.FRONTS);

    FleetOperations(DeployedFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns the record of all impairments. */
    ContactRecord contact() {
        return contact;
    }

    /** Returns a number that differs between any two processes of a front. */
    int life(int front) {
        return lives.get(front);
    }

    /** Kills fronts and starts them again after a time. */
    void killAndStart(List<Integer> fronts, long downMillis) throws InterruptedException {
        List<ContactRecord.Span> spans = impair(fronts);
        fronts.forEach(lives::incrementAndGet);
        fronts.parallelStream().forEach(front -> process(front).kill());
        TimeUnit.MILLISECONDS.sleep(downMillis);
        start(fronts, spans);
    }

    /** Stops fronts in an orderly way and starts them again. */
    void stopAndStart(List<Integer> fronts) {
        List<ContactRecord.Span> spans = impair(fronts);
        fronts.forEach(front -> process(front).stop());
        fronts.forEach(front -> process(front).awaitExit());
        start(fronts, spans);
    }

    private void start(List<Integer> fronts, List<ContactRecord.Span> spans) {
        fronts.forEach(lives::incrementAndGet);
        fronts.forEach(front -> process(front).start());
        spans.forEach(ContactRecord.Span::end);
    }

    /** Freezes fronts until the impairment is ended. */
    Impairment freeze(List<Integer> fronts) {
        List<ContactRecord.Span> spans = impair(fronts);
        fronts.forEach(front -> process(front).freeze());
        return () -> {
            fronts.forEach(front -> process(front).resume());
            spans.forEach(ContactRecord.Span::end);
        };
    }

    /** Freezes fronts for a time. */
    void freeze(List<Integer> fronts, long millis) throws InterruptedException {
        Impairment frozen = freeze(fronts);
        TimeUnit.MILLISECONDS.sleep(millis);
        frozen.end();
    }

    /**
     * Tells fronts that their settings have changed; not before their program runs, as the virtual machine ends then.
     */
    void hangUp(List<Integer> fronts) {
        fronts.stream().map(this::process).filter(FrontProcess::accepts).forEach(FrontProcess::hangUp);
    }

    private List<ContactRecord.Span> impair(List<Integer> fronts) {
        return fronts.stream().map(contact::frontImpaired).toList();
    }

    private FrontProcess process(int front) {
        return fleet.fronts().get(front);
    }

    /** Begins a fault of the store towards some fronts. */
    Impairment begin(StoreFault fault, List<Integer> fronts) {
        List<String> ips = new ArrayList<>();
        fronts.forEach(front -> ips.add(process(front).ip()));
        boolean all = fronts.size() == DeployedFleet.FRONTS;
        boolean answers = ANSWERING.contains(fault) || !all && REFUSING.contains(fault);
        ContactRecord.Span span = contact.storeImpaired(answers ? Part.STORE_UNSTABLE : Part.STORE_LOST);
        Predicate<String> towards = ips::contains;
        fleet.store().begin(fault, towards);
        return () -> {
            fleet.store().end(fault, towards);
            span.end();
        };
    }

    /** Impairs the store towards some fronts for a time. */
    void impairStore(StoreFault fault, List<Integer> fronts, long millis) throws InterruptedException {
        Impairment impairment = begin(fault, fronts);
        TimeUnit.MILLISECONDS.sleep(millis);
        impairment.end();
    }

    /** Cuts the watches that wait. */
    void cutWatches() {
        ContactRecord.Span span = contact.storeImpaired(Part.STORE_UNSTABLE);
        fleet.store().cutWatches();
        span.end();
    }

    /** Discards the store's history. */
    void discardHistory() {
        ContactRecord.Span span = contact.storeImpaired(Part.STORE_UNSTABLE);
        fleet.store().discardHistory();
        span.end();
    }

    /** What lasts until it is ended. */
    @FunctionalInterface
    interface Impairment {
        void end();
    }
}
