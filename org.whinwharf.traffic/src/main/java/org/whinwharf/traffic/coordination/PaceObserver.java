package org.whinwharf.traffic.coordination;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.traffic.target.TargetLimit;
import org.whinwharf.traffic.target.TargetState;

/**
 * Measures the pace of each answer and the mean load of its target while it was sent, from which the limits of targets
 * are learned. Keeps state only of targets with requests in flight.
 */
final class PaceObserver implements LoadListener {
    private final LoadListener next;
    private final LimitListener limitListener;
    private final String service;
    private final boolean enabled;
    private final Map<String, History> histories = new HashMap<>();
    private long nowMillis;

    /** The load of a target summed over time. */
    private static final class History {
        private int running;
        private long sinceMillis;
        private long sum;

        long sum(long atMillis) {
            return sum + running * Math.max(0, atMillis - sinceMillis);
        }
    }

    /** The first event of an answer; without one, its end is not measured. */
    static final class Start {
        private long atMillis;
        private long loadSum;
        private boolean known;
    }

    /**
     * Creates an observer without requests.
     *
     * @param next listener that is told of each load, too
     * @param limitListener listener for changed limits
     * @param service name of the service
     * @param enabled false if no limits are learned
     */
    PaceObserver(LoadListener next, LimitListener limitListener, String service, boolean enabled) {
        this.next = next;
        this.limitListener = limitListener;
        this.service = service;
        this.enabled = enabled;
    }

    /** Sets the time of the changes that follow. */
    void advanceTo(long atMillis) {
        nowMillis = atMillis;
    }

    @Override
    public void changed(String targetId, RunningRequests.Load load) {
        if (enabled) {
            if (load.running() == 0) {
                histories.remove(targetId);
            } else {
                History history = histories.computeIfAbsent(targetId, id -> new History());
                history.sum = history.sum(nowMillis);
                history.sinceMillis = nowMillis;
                history.running = load.running();
            }
        }
        next.changed(targetId, load);
    }

    /** Records the first event of an answer. */
    void recordFirstEvent(String targetId, Start start) {
        History history = histories.get(targetId);
        if (history != null) {
            start.atMillis = nowMillis;
            start.loadSum = history.sum(nowMillis);
            start.known = true;
        }
    }

    /** Records the last event of an answer, before its request is removed from the load of the target. */
    void recordAnswer(TargetState state, Start start, long tookMillis, int events) {
        String targetId = state.target().id();
        History history = histories.get(targetId);
        long lastedMillis = nowMillis - start.atMillis;
        if (history == null
                || !start.known
                || tookMillis <= 0
                || lastedMillis <= 0
                || events < TargetLimit.MIN_EVENTS) {
            return;
        }
        double load = (history.sum(nowMillis) - start.loadSum) / (double) lastedMillis;
        double paceMillis = tookMillis / (events - 1.0);
        int before = state.limit().settled();
        if (state.limit().record(load, paceMillis, state.target().slots(), nowMillis)) {
            limitListener.limitChanged(
                    service,
                    targetId,
                    before,
                    state.limit().settled(),
                    paceMillis,
                    load / Math.max(1, state.target().slots()),
                    state.limit().samples());
        }
    }
}
