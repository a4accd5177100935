package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.whinwharf.wire.schema.TargetLoad;

/** Target of the model: bears one request when it has started, and one more with each that it completes. */
final class ModelTarget {
    private final int most;
    private final TreeMap<Long, Integer> history = new TreeMap<>();
    private final List<Runnable> running = new ArrayList<>();
    private long startNumber = 1;
    private long startedAtMillis;
    private int bears = 1;
    private int worst;
    private boolean down;

    ModelTarget(int most) {
        this.most = most;
        history.put(0L, 0);
    }

    /** Starts a request; returns false when the target is down. */
    boolean start(Runnable failed, long nowMillis) {
        if (down) {
            return false;
        }
        running.add(failed);
        worst = Math.max(worst, running.size() - bears);
        history.put(nowMillis, running.size());
        return true;
    }

    /** Ends a request; returns false when the target has lost it before. */
    boolean end(Runnable failed, long nowMillis) {
        boolean ran = running.remove(failed);
        if (ran) {
            bears = Math.min(most, bears + 1);
            history.put(nowMillis, running.size());
        }
        return ran;
    }

    void crash(long nowMillis) {
        down = true;
        List<Runnable> lost = List.copyOf(running);
        running.clear();
        history.put(nowMillis, 0);
        lost.forEach(Runnable::run);
    }

    void startAgain(long nowMillis) {
        down = false;
        bears = 1;
        startNumber++;
        startedAtMillis = nowMillis;
    }

    boolean isDown() {
        return down;
    }

    int worst() {
        return worst;
    }

    TargetLoad load(long ageMillis, long nowMillis) {
        long atMillis = Math.max(startedAtMillis, nowMillis - ageMillis);
        return TargetLoad.newBuilder()
                .setStartNumber(startNumber)
                .setRunning(history.floorEntry(atMillis).getValue())
                .setAgeMillis(nowMillis - atMillis)
                .build();
    }
}
