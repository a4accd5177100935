package org.whinwharf.runtime.platform;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.time.Ticker;

/**
 * Thread that repeatedly reads one published value of the platform.
 *
 * @param <T> type of the published value
 */
public final class Watch<T> implements Service {
    private static final Logger LOG = LogManager.getLogger(Watch.class);
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final Thread thread;
    private final PlatformReader<T> reader;
    private final WatchListener<T> listener;
    private final Pacing pacing;
    private final LongSupplier knownRevision;
    private final IntSupplier fleetSize;
    private final Ticker ticker;
    private final CountDownLatch stopping = new CountDownLatch(1);
    private final AtomicLong readCount = new AtomicLong();

    private Watch(Builder<T> builder) {
        reader = builder.reader;
        listener = builder.listener;
        pacing = builder.pacing;
        knownRevision = builder.knownRevision;
        fleetSize = builder.fleetSize;
        ticker = builder.ticker;
        thread = new Thread(this::run, builder.name);
        thread.setDaemon(true);
    }

    /**
     * Creates a builder of a watch.
     *
     * @param <T> type of the published value
     * @return a builder
     */
    public static <T> Builder<T> builder() {
        return new Builder<>();
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public void stop() {
        stopping.countDown();
        thread.interrupt();
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the number of reads started; the platform counts each one.
     *
     * @return number since the start
     */
    public long readCount() {
        return readCount.get();
    }

    private void run() {
        try {
            boolean stopped = stopping.await(pacing.initialDelayMillis(fleetSize.getAsInt()), TimeUnit.MILLISECONDS);
            while (!stopped) {
                stopped = stopping.await(readOnce(), TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            LOG.debug("{} stops", thread.getName());
        }
    }

    private long readOnce() {
        long requestedAtMillis = ticker.nowMillis();
        readCount.incrementAndGet();
        PlatformAnswer<T> answer = read();
        if (stopping.getCount() > 0) {
            listener.readCompleted(answer, requestedAtMillis);
        }
        return pacing.nextDelayMillis(answer, ticker.nowMillis() - requestedAtMillis, fleetSize.getAsInt());
    }

    private PlatformAnswer<T> read() {
        try {
            return reader.read(knownRevision.getAsLong(), pacing.longPollMillis());
        } catch (RuntimeException e) {
            return new PlatformAnswer.Failed<>(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Builder of a watch.
     *
     * @param <T> type of the published value
     */
    public static final class Builder<T> {
        private String name = "watch";
        private PlatformReader<T> reader;
        private WatchListener<T> listener;
        private Pacing pacing;
        private LongSupplier knownRevision = () -> 0;
        private IntSupplier fleetSize = () -> 0;
        private Ticker ticker = Ticker.system();

        private Builder() {}

        /**
         * Sets the name of the thread.
         *
         * @param name the name
         * @return this builder
         */
        public Builder<T> name(String name) {
            this.name = name;
            return this;
        }

        /**
         * Sets the reader.
         *
         * @param reader reads the published value
         * @return this builder
         */
        public Builder<T> reader(PlatformReader<T> reader) {
            this.reader = reader;
            return this;
        }

        /**
         * Sets the listener for the outcomes of reads.
         *
         * @param listener the listener
         * @return this builder
         */
        public Builder<T> listener(WatchListener<T> listener) {
            this.listener = listener;
            return this;
        }

        /**
         * Sets the pacing, which determines the delays between reads.
         *
         * @param pacing pacing that only this watch uses
         * @return this builder
         */
        public Builder<T> pacing(Pacing pacing) {
            this.pacing = pacing;
            return this;
        }

        /**
         * Sets the supplier of the known generation or revision.
         *
         * @param knownRevision supplies it before each read; 0 for none
         * @return this builder
         */
        public Builder<T> knownRevision(LongSupplier knownRevision) {
            this.knownRevision = knownRevision;
            return this;
        }

        /**
         * Sets the supplier of the size of the fleet.
         *
         * @param fleetSize supplies the number of processes; 0 while unknown
         * @return this builder
         */
        public Builder<T> fleetSize(IntSupplier fleetSize) {
            this.fleetSize = fleetSize;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param ticker monotonic clock
         * @return this builder
         */
        public Builder<T> ticker(Ticker ticker) {
            this.ticker = ticker;
            return this;
        }

        /**
         * Creates the watch.
         *
         * @return a watch, not yet started
         */
        public Watch<T> call() {
            return new Watch<>(this);
        }
    }
}
