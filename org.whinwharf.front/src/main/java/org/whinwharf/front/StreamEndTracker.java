package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.stream.StreamEndLedger;

/** Tells which ends of streams are to be doubted, of those that only the end of a connection has told. */
final class StreamEndTracker {
    /** Time for which a target that broke off a response is expected to break off others. */
    private static final long BREAK_OFF_MEMORY_MILLIS = 30_000;

    private final Ticker ticker;
    /** By service; the number of services bounds it. */
    private final Map<String, StreamEndLedger> ledgers = new HashMap<>();

    StreamEndTracker(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records the end of a stream that looks whole. */
    void ended(String service, boolean declared) {
        ledger(service).ended(declared);
    }

    /**
     * Tells whether an undeclared end may be a cut: the target has broken off another response, or streams of the
     * service hardly ever end so.
     *
     * @param maxShare share of the service's streams of which the ends can all be verified
     */
    boolean doubted(String service, TargetEntry target, double maxShare) {
        return target.brokeOffSince(ticker.nowMillis() - BREAK_OFF_MEMORY_MILLIS)
                || ledger(service).undeclaredRare(maxShare);
    }

    private StreamEndLedger ledger(String service) {
        return ledgers.computeIfAbsent(service, name -> new StreamEndLedger());
    }
}
