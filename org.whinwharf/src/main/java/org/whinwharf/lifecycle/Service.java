package org.whinwharf.lifecycle;

/** Part of a process that owns resources from its start to its stop. */
public interface Service {
    /** Acquires the resources and begins work. Called once. */
    void start();

    /** Ends work and releases the resources. A second call has no effect. */
    void stop();
}
