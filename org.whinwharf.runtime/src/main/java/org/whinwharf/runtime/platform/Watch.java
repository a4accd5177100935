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
 * Thread that reads one thing of the platform again and again.
 *
 * @param <T> type of what is published
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
     * Starts the description of a watch.
     *
     * @param <T> type of what is published
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
     * Returns how many reads were begun; the platform counts each one.
     *
     * @return count since the start
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
            LOG.debug("{} ends", thread.getName());
        }
    }

    private long readOnce() {
        long askedAtMillis = ticker.nowMillis();
        readCount.incrementAndGet();
        PlatformAnswer<T> answer = read();
        if (stopping.getCount() > 0) {
            listener.readCompleted(answer, askedAtMillis);
        }
        return pacing.nextDelayMillis(answer, ticker.nowMillis() - askedAtMillis, fleetSize.getAsInt());
    }

    private PlatformAnswer<T> read() {
        try {
            return reader.read(knownRevision.getAsLong(), pacing.longPollMillis());
        } catch (RuntimeException e) {
            return new PlatformAnswer.Failed<>(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Describes a watch.
     *
     * @param <T> type of what is published
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
         * Sets what is read.
         *
         * @param reader the read
         * @return this builder
         */
        public Builder<T> reader(PlatformReader<T> reader) {
            this.reader = reader;
            return this;
        }

        /**
         * Sets who takes the answers.
         *
         * @param listener the listener
         * @return this builder
         */
        public Builder<T> listener(WatchListener<T> listener) {
            this.listener = listener;
            return this;
        }

        /**
         * Sets the times between reads.
         *
         * @param pacing used by this watch alone
         * @return this builder
         */
        public Builder<T> pacing(Pacing pacing) {
            this.pacing = pacing;
            return this;
        }

        /**
         * Sets how the known generation or revision is found.
         *
         * @param known called before each read
         * @return this builder
         */
        public Builder<T> knownRevision(LongSupplier known) {
            this.knownRevision = known;
            return this;
        }

        /**
         * Sets how the size of the fleet is found.
         *
         * @param processes number of processes; 0 while not known
         * @return this builder
         */
        public Builder<T> fleetSize(IntSupplier processes) {
            this.fleetSize = processes;
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
         * Makes the watch.
         *
         * @return a watch, not yet started
         */
        public Watch<T> call() {
            return new Watch<>(this);
        }
    }
}
