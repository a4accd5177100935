package org.whinwharf.entry.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.whinwharf.home.Home;
import org.whinwharf.home.HomeAction;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.time.Ticker;

/** Thread that takes all decisions of the home. */
final class HomeDuty implements Service {
    private static final int RING_SIZE = 16_384;
    private static final long TICK_MILLIS = 10;
    private static final long FULL_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

    private final Ticker ticker;
    private final Duty<HomeEvent> duty;
    private final Deque<HomeEvent> own = new ArrayDeque<>();
    private volatile Thread thread;
    private volatile boolean stopped;
    private volatile int waitingCount;
    private volatile int liveCount;
    private Home home;
    private HomeAction.Handler actions;

    HomeDuty(Ticker ticker) {
        this.ticker = ticker;
        duty = Duty.<HomeEvent>builder()
                .name("home")
                .handler(new Handler())
                .ringSize(RING_SIZE)
                .tickMillis(TICK_MILLIS)
                .call();
    }

    /** Sets what the duty works on; called before the start. */
    void attach(Home home, HomeAction.Handler actions) {
        this.home = home;
        this.actions = actions;
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        stopped = true;
        duty.stop();
    }

    /** Hands over an event that can be refused; false when the ring is full. */
    boolean tryPut(HomeEvent event) {
        return duty.offer(event);
    }

    /**
     * Hands over an event that must not be lost.
     *
     * <p>While the ring is full the calling network thread waits, so that peers and targets feel it as back-pressure. A
     * lost event would leave a request without its grant or its answer. The home never waits for those threads.
     */
    void put(HomeEvent event) {
        if (Thread.currentThread() == thread) {
            own.add(event);
            return;
        }
        while (!duty.offer(event) && !stopped) {
            LockSupport.parkNanos(FULL_PAUSE_NANOS);
        }
    }

    int waitingCount() {
        return waitingCount;
    }

    int liveCount() {
        return liveCount;
    }

    private final class Handler implements DutyHandler<HomeEvent> {
        @Override
        public void handle(HomeEvent event) {
            thread = Thread.currentThread();
            run(event);
            while (!own.isEmpty()) {
                run(own.poll());
            }
        }

        @Override
        public void tick() {
            handle(new HomeEvent.Ticked());
            waitingCount = home.waitingCount();
            liveCount = home.liveCount();
        }

        private void run(HomeEvent event) {
            home.handle(event, ticker.nowMillis()).forEach(action -> action.accept(actions));
        }
    }
}
