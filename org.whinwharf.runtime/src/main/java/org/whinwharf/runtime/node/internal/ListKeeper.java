package org.whinwharf.runtime.node.internal;

import java.util.Optional;
import java.util.OptionalLong;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.runtime.platform.PlatformAnswer;
import org.whinwharf.wire.schema.HostList;

/**
 * Keeps the host list of the highest revision that was read.
 *
 * <p>A replica of the platform that lags can answer with an older list than another one did. Revisions are fencing
 * numbers for orders to engines, so they must not fall.
 */
final class ListKeeper {
    private HostList list;
    private OptionalLong heardAtMillis = OptionalLong.empty();
    private String problem = RuntimeText.get("source.not-asked");
    private boolean reachable = true;

    /**
     * Takes an answer of the platform.
     *
     * @param answer the answer
     * @param askedAtMillis monotonic clock when it was asked for
     * @return true when another list is in force now
     */
    boolean answered(PlatformAnswer<HostList> answer, long askedAtMillis) {
        if (answer instanceof PlatformAnswer.Failed<HostList> failed) {
            unreachable(failed.reason());
            return false;
        }
        if (!(answer instanceof PlatformAnswer.Changed<HostList> changed)) {
            heard(askedAtMillis);
            return false;
        }
        HostList offered = changed.value();
        if (offered.getRevision() < revision()) {
            // Not heard either: an answer from the past says nothing of the present.
            EventLog.event(LogEvent.LIST_REFUSED)
                    .with(EventField.REASON, "revision " + offered.getRevision() + " below " + revision())
                    .call();
            return false;
        }
        heard(askedAtMillis);
        boolean newer = list == null || offered.getRevision() > revision();
        if (newer) {
            list = offered;
            EventLog.event(LogEvent.LIST_IN_FORCE)
                    .with(EventField.REVISION, revision())
                    .with(EventField.HOSTS, list.getHostsCount())
                    .call();
        }
        return newer;
    }

    Optional<HostList> list() {
        return Optional.ofNullable(list);
    }

    long revision() {
        return list == null ? 0 : list.getRevision();
    }

    OptionalLong heardAtMillis() {
        return heardAtMillis;
    }

    String problem() {
        return problem;
    }

    private void heard(long askedAtMillis) {
        heardAtMillis = OptionalLong.of(askedAtMillis);
        if (!reachable) {
            reachable = true;
            EventLog.event(LogEvent.LIST_REACHABLE).call();
        }
    }

    private void unreachable(String reason) {
        problem = reason;
        if (reachable) {
            reachable = false;
            EventLog.event(LogEvent.LIST_UNREACHABLE)
                    .with(EventField.REASON, reason)
                    .call();
        }
    }
}
