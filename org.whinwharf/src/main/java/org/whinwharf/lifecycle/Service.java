package org.whinwharf.lifecycle;

/** Component of a process that owns resources from its start to its stop. */
public interface Service {
    /** Acquires the resources and starts the component. Called once. */
    void start();

    /** Stops the component and releases the resources. A second call has no effect. */
    void stop();
}
