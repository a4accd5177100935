package org.whinwharf.front;

import java.util.LinkedHashSet;
import java.util.Set;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.Target;

/**
 * Finds out whether a stream may go on over a connection: the process that has begun it and the one at the other end
 * have to be the published ones, since the versions of others are unknown.
 */
final class ProcessCheck {
    /**
     * Time for which a stream waits for what its targets state of their processes: more than a heartbeat, and less than
     * the gap after which callers give up. It waits longer where nothing but time shows that they state nothing.
     */
    private static final long WAIT_MILLIS = 1_600;

    private final Front front;
    private final StreamContinuation stream;
    /** When the stream began to wait; 0 if it has not waited since it went on last. */
    private long sinceMillis;
    /** Until when it waits at most. */
    private long untilMillis;

    ProcessCheck(Front front, StreamContinuation stream) {
        this.front = front;
        this.stream = stream;
    }

    /** Tells whether the stream may go on over a connection to a target. */
    boolean passes(TargetEntry next, TargetConnection connection) {
        return stream.knowledge().publishedVersion()
                && front.knowledgeOf(next, connection).publishedVersion();
    }

    /** Records that the stream goes on; after a later interruption it may wait again. */
    void streamContinued() {
        sinceMillis = 0;
    }

    /** Returns until when the stream waits at most, in monotonic milliseconds; 0 if it has not waited. */
    long untilMillis() {
        return untilMillis;
    }

    /**
     * Returns when it is known that the process at the other end of a connection cannot be known, as the targets of its
     * service neither report nor write their entries again; 0 if they may report.
     */
    private long presumedAtMillis(TargetEntry next) {
        Target target = next.state().target();
        boolean mayReport = front.processes().mayReport(target.service(), front.nowMillis());
        return mayReport ? 0 : front.processes().repetitionKnownAtMillis(target.service());
    }

    /**
     * Waits until the stream may go on over a connection, or nothing that could show it is to come.
     *
     * @param deadlineAtMillis monotonic time in milliseconds until which it waits at most
     * @param task run in a later turn of the event loop, whatever was found out
     * @return false if there is nothing to wait for; the task is not run then
     */
    boolean await(TargetEntry next, TargetConnection connection, long deadlineAtMillis, Runnable task) {
        long nowMillis = front.nowMillis();
        if (sinceMillis == 0) {
            sinceMillis = nowMillis;
        }
        untilMillis = Math.min(Math.max(sinceMillis + WAIT_MILLIS, presumedAtMillis(next)), deadlineAtMillis);
        if (replaced(next, connection) || nowMillis >= untilMillis) {
            return false;
        }
        Set<TargetEntry> asked = new LinkedHashSet<>();
        if (!stream.knowledge().publishedVersion()) {
            stream.openProcess().ifPresent(first -> {
                TargetEntry entry = front.entry(first.targetId());
                if (entry != null) {
                    asked.add(entry);
                }
            });
        }
        if (!front.knowledgeOf(next, connection).publishedVersion()) {
            asked.add(next);
        }
        return front.processInquiry()
                .verify(
                        asked,
                        () -> passes(next, connection) || replaced(next, connection),
                        untilMillis - nowMillis,
                        task);
    }

    /** Tells whether another process has taken the place of one of the two. */
    private boolean replaced(TargetEntry next, TargetConnection connection) {
        return stream.knowledge() == ProcessKnowledge.REPLACED
                || front.knowledgeOf(next, connection) == ProcessKnowledge.REPLACED;
    }
}
