package org.whinwharf.entry.internal;

import io.netty.channel.ConnectTimeoutException;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Bounds the silence between two parts of a stream.
 *
 * <p>A connection whose other end is gone without a word stays open, and its stream would stand still until the
 * caller's deadline although the engine has the rest and can be asked for it anew.
 */
final class SilenceLimit {
    private SilenceLimit() {}

    /**
     * Fails a stream that falls silent. The time before its first part is not bounded, since an engine may read a long
     * prompt or have others before it.
     *
     * @param stream parts as they come
     * @param limit longest time from one part to the next, or to the end
     * @param <T> type of a part
     * @return the same parts, and a {@link TimeoutException} once the limit has passed
     */
    static <T> Flux<T> apply(Flux<T> stream, Duration limit) {
        return stream.timeout(Mono.never(), part -> Mono.delay(limit));
    }

    /**
     * Fails a resumed stream that falls silent. The time before its first part is bounded as well: the target has the
     * stream already, and the order to resume it may have been lost.
     *
     * @param stream parts as they come
     * @param limit longest time to the first part, from one part to the next, or to the end
     * @param <T> type of a part
     * @return the same parts, and a {@link TimeoutException} once the limit has passed
     */
    static <T> Flux<T> applyToResumed(Flux<T> stream, Duration limit) {
        return stream.timeout(limit);
    }

    /**
     * Tells whether the end of a stream only shows that nothing was heard of its target.
     *
     * @param failure reason of the end
     * @return true if the target may go on with the stream
     */
    static boolean isSilence(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof TimeoutException
                    || cause instanceof ConnectTimeoutException
                    || cause instanceof NoRouteToHostException) {
                return true;
            }
        }
        return false;
    }
}
