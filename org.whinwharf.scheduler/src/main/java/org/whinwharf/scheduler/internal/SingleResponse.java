package org.whinwharf.scheduler.internal;

import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Takes the one answer of an HTTP call.
 *
 * @param <T> type of the answer
 */
final class SingleResponse<T> implements Subscriber<T> {
    private final Consumer<T> answered;
    private final Runnable failed;
    private boolean done;

    SingleResponse(Consumer<T> answered, Runnable failed) {
        this.answered = answered;
        this.failed = failed;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(T answer) {
        if (!done) {
            done = true;
            answered.accept(answer);
        }
    }

    @Override
    public void onError(Throwable failure) {
        fail();
    }

    @Override
    public void onComplete() {
        fail();
    }

    private void fail() {
        if (!done) {
            done = true;
            failed.run();
        }
    }
}
