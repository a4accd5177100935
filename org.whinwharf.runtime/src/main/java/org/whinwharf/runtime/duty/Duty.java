package org.whinwharf.runtime.duty;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.whinwharf.lifecycle.Service;

/**
 * Thread with one duty that takes its events from a bounded ring.
 *
 * @param <E> type of the events
 */
public final class Duty<E> implements Service {
    private static final Logger LOG = LogManager.getLogger(Duty.class);

    private final String name;
    private final DutyHandler<E> handler;
    private final long tickMillis;
    private final Disruptor<Slot<E>> disruptor;
    private final ScheduledExecutorService timer;
    private final AtomicBoolean tickQueued = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicLong rejected = new AtomicLong();

    private Duty(Builder<E> builder) {
        name = builder.name;
        handler = builder.handler;
        tickMillis = builder.tickMillis;
        disruptor = new Disruptor<>(
                Slot::new, builder.ringSize, this::newThread, ProducerType.MULTI, new BlockingWaitStrategy());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> run(slot));
        disruptor.setDefaultExceptionHandler(new LoggingHandler<>(name));
        timer = tickMillis > 0 ? Executors.newSingleThreadScheduledExecutor(this::newTimerThread) : null;
    }

    /**
     * Starts the description of a duty.
     *
     * @param <E> type of the events
     * @return a builder
     */
    public static <E> Builder<E> builder() {
        return new Builder<>();
    }

    @Override
    public void start() {
        disruptor.start();
        if (timer != null) {
            timer.scheduleWithFixedDelay(this::queueTick, tickMillis, tickMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        if (timer != null) {
            timer.shutdownNow();
        }
        disruptor.shutdown();
    }

    /**
     * Puts an event into the ring.
     *
     * @param event the event
     * @return false when the ring is full or the duty has stopped; the event is then dropped and counted
     */
    public boolean offer(E event) {
        boolean taken = !stopped.get() && disruptor.getRingBuffer().tryPublishEvent((slot, seq) -> slot.event = event);
        if (!taken) {
            rejected.incrementAndGet();
        }
        return taken;
    }

    /**
     * Returns how many events the ring had no room for.
     *
     * @return count since the start
     */
    public long rejected() {
        return rejected.get();
    }

    /**
     * Returns how many events wait.
     *
     * @return number of events in the ring
     */
    public long backlog() {
        return disruptor.getBufferSize() - disruptor.getRingBuffer().remainingCapacity();
    }

    private void queueTick() {
        // One tick at a time: a busy duty must not find its ring full of stale ticks.
        if (tickQueued.compareAndSet(false, true)) {
            boolean taken = disruptor.getRingBuffer().tryPublishEvent((slot, seq) -> slot.tick = true);
            if (!taken) {
                tickQueued.set(false);
            }
        }
    }

    private void run(Slot<E> slot) {
        E event = slot.event;
        boolean tick = slot.tick;
        slot.event = null;
        slot.tick = false;
        if (tick) {
            tickQueued.set(false);
            handler.tick();
        }
        if (event != null) {
            handler.handle(event);
        }
    }

    private Thread newThread(Runnable body) {
        return new Thread(body, name);
    }

    private Thread newTimerThread(Runnable body) {
        Thread thread = new Thread(body, name + "-timer");
        thread.setDaemon(true);
        return thread;
    }

    private static final class Slot<E> {
        private E event;
        private boolean tick;
    }

    private static final class LoggingHandler<E> implements ExceptionHandler<Slot<E>> {
        private final String name;

        LoggingHandler(String name) {
            this.name = name;
        }

        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<E> slot) {
            LOG.error("duty {} failed on an event", name, failure);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            LOG.error("duty {} failed to start", name, failure);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            LOG.error("duty {} failed to stop", name, failure);
        }
    }

    /**
     * Describes a duty.
     *
     * @param <E> type of the events
     */
    public static final class Builder<E> {
        private String name = "duty";
        private DutyHandler<E> handler;
        private int ringSize = 1024;
        private long tickMillis;

        private Builder() {}

        /**
         * Sets the name of the thread.
         *
         * @param name the name
         * @return this builder
         */
        public Builder<E> name(String name) {
            this.name = name;
            return this;
        }

        /**
         * Sets the work.
         *
         * @param handler the work
         * @return this builder
         */
        public Builder<E> handler(DutyHandler<E> handler) {
            this.handler = handler;
            return this;
        }

        /**
         * Sets how many events may wait.
         *
         * @param ringSize a power of two
         * @return this builder
         */
        public Builder<E> ringSize(int ringSize) {
            this.ringSize = ringSize;
            return this;
        }

        /**
         * Sets the time between two ticks.
         *
         * @param tickMillis milliseconds; 0 for no ticks
         * @return this builder
         */
        public Builder<E> tickMillis(long tickMillis) {
            this.tickMillis = tickMillis;
            return this;
        }

        /**
         * Makes the duty.
         *
         * @return a duty, not yet started
         */
        public Duty<E> call() {
            return new Duty<>(this);
        }
    }
}
