package org.whinwharf.front;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests requests that wait for the history of the publishing service. */
class AwaitedHistoryTest {
    private static final long REMAINING_MILLIS = 5_000;

    /** Guards against a request that fails as the wait ends, and leaves the requests after it waiting. */
    @Test
    void failureOfOneRequestDoesNotKeepTheOthersWaiting() throws Exception {
        AtomicBoolean resumed = new AtomicBoolean();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {});
            fixture.publishCatalog(1, REMAINING_MILLIS);
            fixture.run(() -> {
                VersionObserver versions = fixture.front().versions();
                versions.expectHistory();
                versions.awaitHistory("service", REMAINING_MILLIS, () -> {
                    throw new IllegalStateException("a request that fails");
                });
                versions.awaitHistory("service", REMAINING_MILLIS, () -> resumed.set(true));
            });
            FrontFixture.await(resumed::get);
        }
    }
}
