package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.whinwharf.time.Ticker;

/**
 * Finds out that the published items hold all that was published before a time.
 *
 * <p>A watch delivers changes late, or not at all while its connection is silent, so the items that were read before
 * show nothing of what another process may have read since. A read that begins after that time does, as the publishing
 * service answers from its latest state.
 */
public final class ItemConfirmation {
    /** Time for which a request waits for a read. */
    private static final long MAX_WAIT_MILLIS = 1_000;
    /** Minimum time from the begin of a read to that of the next one, in a fleet of this process only. */
    private static final int MIN_INTERVAL_MILLIS = 100;

    /** Reads the changes since the local items from the publishing service. */
    public interface Reader {
        /**
         * Reads the changes and applies them.
         *
         * @param result receives, in a later turn or at once, whether the items hold them now
         */
        void read(Consumer<Boolean> result);
    }

    private record Pending(long sinceMillis, Consumer<Boolean> consumer) {}

    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final IntSupplier processes;
    private Reader reader = result -> result.accept(false);
    private final List<Pending> pending = new ArrayList<>();
    /** When the latest read began. */
    private long readAtMillis = Long.MIN_VALUE / 2;

    private boolean readExpected;

    /**
     * Creates a confirmation that cannot read.
     *
     * @param processes returns the number of processes of the fleet, whose reads together are bounded
     */
    ItemConfirmation(EventLoopGroup loop, Ticker ticker, IntSupplier processes) {
        this.loop = loop;
        this.ticker = ticker;
        this.processes = processes;
    }

    /**
     * Sets how changes are read.
     *
     * @param newReader reader, called on the front's thread
     */
    public void readBy(Reader newReader) {
        reader = newReader;
    }

    /**
     * Waits until the items hold all that was published before a time.
     *
     * @param sinceMillis monotonic time in milliseconds
     * @param consumer receives false if no read has shown that in time
     */
    void await(long sinceMillis, Consumer<Boolean> consumer) {
        Pending added = new Pending(sinceMillis, consumer);
        pending.add(added);
        loop.schedule(() -> conclude(added), MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        readSoon();
    }

    private void conclude(Pending unanswered) {
        if (pending.remove(unanswered)) {
            unanswered.consumer().accept(false);
        }
    }

    /** Begins a read unless one is under way, not sooner than the interval after the one before. */
    private void readSoon() {
        if (readExpected || pending.isEmpty()) {
            return;
        }
        readExpected = true;
        long intervalMillis = Math.max(MIN_INTERVAL_MILLIS, processes.getAsInt());
        long delayMillis = Math.max(0, readAtMillis + intervalMillis - ticker.nowMillis());
        loop.schedule(this::read, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void read() {
        Read read = new Read();
        readAtMillis = read.beganAtMillis;
        try {
            reader.read(read);
        } catch (Throwable e) {
            // Whatever fails in there, there is a next read.
            read.accept(false);
            throw e;
        }
    }

    /** One read, whose outcome counts once. */
    private final class Read implements Consumer<Boolean> {
        private final long beganAtMillis = ticker.nowMillis();
        private boolean ended;

        @Override
        public void accept(Boolean succeeded) {
            if (ended) {
                return;
            }
            ended = true;
            readExpected = false;
            List<Pending> confirmed = succeeded
                    ? pending.stream()
                            .filter(request -> request.sinceMillis() <= beganAtMillis)
                            .toList()
                    : List.of();
            pending.removeAll(confirmed);
            // Each in a turn of its own, so that one that fails does not end the others.
            confirmed.forEach(request -> loop.execute(() -> request.consumer().accept(true)));
            readSoon();
        }
    }
}
