package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.stream.ImmutableEndCheck;
import org.whinwharf.traffic.stream.StreamEndLedger;

/** Tells which ends of streams are to be doubted, of those that only the end of a connection has told. */
final class StreamEndTracker {
    /** Time for which a target that broke off a response is expected to break off others. */
    private static final long BREAK_OFF_MEMORY_MILLIS = 30_000;

    private final Ticker ticker;
    /** By service; the number of services bounds it. */
    private final Map<String, StreamEndLedger> ledgers = new HashMap<>();

    private final Random random;

    StreamEndTracker(Ticker ticker, Random random) {
        this.ticker = ticker;
        this.random = random;
    }

    /** Records the end of a stream that looks whole. */
    void ended(String service, boolean declared) {
        ledger(service).ended(declared);
    }

    /** Records what was found out of an undeclared end. */
    void verified(String service, EndVerdict verdict) {
        if (verdict != EndVerdict.UNKNOWN) {
            ledger(service)
                    .checked(ImmutableEndCheck.builder()
                            .id(random.nextLong())
                            .cut(verdict == EndVerdict.CUT)
                            .checkedAtMillis(ticker.nowMillis())
                            .build());
        }
    }

    /** Tells whether streams of a service with an undeclared end have lately been found to be cut. */
    boolean cutsShown(String service) {
        return ledger(service).cutsShown(ticker.nowMillis());
    }

    /**
     * Tells whether an undeclared end is more likely a cut than the end of a whole stream, as far as it cannot be
     * verified: streams of the service were found to be cut, or both the end is odd there and its target breaks off
     * responses.
     *
     * @param maxShare largest share of undeclared ends at which one is odd
     */
    boolean likelyCut(String service, TargetEntry target, double maxShare) {
        StreamEndLedger ledger = ledger(service);
        boolean suspicious = ledger.undeclaredRare(maxShare) && breaksOff(target);
        return cutsShown(service) || suspicious && !ledger.wholeShown(ticker.nowMillis());
    }

    /**
     * Tells whether an undeclared end may be a cut: the target has broken off another response, streams of the service
     * hardly ever end so, or some that did were cut.
     *
     * @param maxShare share of the service's streams of which the ends can all be verified
     */
    boolean doubted(String service, TargetEntry target, double maxShare) {
        return breaksOff(target) || ledger(service).undeclaredRare(maxShare) || cutsShown(service);
    }

    private boolean breaksOff(TargetEntry target) {
        return target.brokeOffSince(ticker.nowMillis() - BREAK_OFF_MEMORY_MILLIS);
    }

    private StreamEndLedger ledger(String service) {
        return ledgers.computeIfAbsent(service, name -> new StreamEndLedger());
    }
}
