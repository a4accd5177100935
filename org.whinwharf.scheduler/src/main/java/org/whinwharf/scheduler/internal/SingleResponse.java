package org.whinwharf.scheduler.internal;

import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Subscriber that passes on the single response of an HTTP request, or its failure.
 *
 * @param <T> type of the response
 */
final class SingleResponse<T> implements Subscriber<T> {
    private final Consumer<T> onResponse;
    private final Runnable onFailure;
    private boolean done;

    SingleResponse(Consumer<T> onResponse, Runnable onFailure) {
        this.onResponse = onResponse;
        this.onFailure = onFailure;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(T response) {
        if (!done) {
            done = true;
            onResponse.accept(response);
        }
    }

    @Override
    public void onError(Throwable cause) {
        completeWithFailure();
    }

    @Override
    public void onComplete() {
        completeWithFailure();
    }

    private void completeWithFailure() {
        if (!done) {
            done = true;
            onFailure.run();
        }
    }
}
