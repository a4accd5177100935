package org.whinwharf.system;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for a condition of real processes; the bound only ends a test that would never end. */
final class Await {
    private static final long BOUND_SECONDS = 90;
    private static final long STEP_MILLIS = 50;

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        until(what, condition, () -> "");
    }

    static void until(String what, BooleanSupplier condition, Supplier<String> evidence) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("never came: " + what + " " + evidence.get());
            }
            pause(STEP_MILLIS);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
