package org.whinwharf.runtime.admin;

import java.util.List;
import org.whinwharf.wire.status.NodeStatus;

/** What the admin server shows of a process. Called by several threads. */
public interface AdminView {
    /**
     * Tells why the process is not ready.
     *
     * @return reasons; empty when it is ready
     */
    List<String> reasons();

    /**
     * Returns the status.
     *
     * @return status of this instant
     */
    NodeStatus status();
}
