package org.whinwharf.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.whinwharf.wire.schema.TargetLoad;

/** Simulated target whose capacity is one request after a start and grows by one with each completed request. */
final class ModelTarget {
    private final int maxCapacity;
    private final TreeMap<Long, Integer> runningByTime = new TreeMap<>();
    private final List<Runnable> running = new ArrayList<>();
    private long startNumber = 1;
    private long startedAtMillis;
    private int capacity = 1;
    private int maxOverload;
    private boolean down;

    ModelTarget(int maxCapacity) {
        this.maxCapacity = maxCapacity;
        runningByTime.put(0L, 0);
    }

    /** Starts a request; returns false when the target is down. */
    boolean start(Runnable failed, long nowMillis) {
        if (down) {
            return false;
        }
        running.add(failed);
        maxOverload = Math.max(maxOverload, running.size() - capacity);
        runningByTime.put(nowMillis, running.size());
        return true;
    }

    /** Ends a request; returns false when the target lost it in a crash. */
    boolean end(Runnable failed, long nowMillis) {
        boolean ran = running.remove(failed);
        if (ran) {
            capacity = Math.min(maxCapacity, capacity + 1);
            runningByTime.put(nowMillis, running.size());
        }
        return ran;
    }

    void crash(long nowMillis) {
        down = true;
        List<Runnable> lost = List.copyOf(running);
        running.clear();
        runningByTime.put(nowMillis, 0);
        lost.forEach(Runnable::run);
    }

    void restart(long nowMillis) {
        down = false;
        capacity = 1;
        startNumber++;
        startedAtMillis = nowMillis;
    }

    boolean isDown() {
        return down;
    }

    int maxOverload() {
        return maxOverload;
    }

    TargetLoad load(long ageMillis, long nowMillis) {
        long measuredAtMillis = Math.max(startedAtMillis, nowMillis - ageMillis);
        return TargetLoad.newBuilder()
                .setStartNumber(startNumber)
                .setRunning(runningByTime.floorEntry(measuredAtMillis).getValue())
                .setAgeMillis(nowMillis - measuredAtMillis)
                .build();
    }
}
