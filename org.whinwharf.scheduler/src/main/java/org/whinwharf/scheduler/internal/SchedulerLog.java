package org.whinwharf.scheduler.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.status.SliceState;
import org.whinwharf.wire.status.TargetState;

/** Writes the log events of the scheduler. */
final class SchedulerLog {
    private final Map<String, Integer> loggedFloors = new HashMap<>();

    void sent(ProcessId home, Frame frame) {
        if (frame.hasRefusal()) {
            Refusal refusal = frame.getRefusal();
            EventLog.event(LogEvent.SHED)
                    .with(EventField.REQUEST, Long.toHexString(refusal.getRequest()))
                    .with(EventField.PEER, home.host())
                    .with(EventField.SLICE, name(refusal.getSlice()))
                    .with(EventField.REASON, refusal.getReason().name())
                    .with(EventField.RETRY_AFTER_MILLIS, refusal.getComeBackMillis())
                    .call();
        }
    }

    void sent(String host, Frame frame) {
        if (frame.hasFloorRaise()) {
            int rank = frame.getFloorRaise().getRank();
            String service = frame.getFloorRaise().getService();
            if (!Integer.valueOf(rank).equals(loggedFloors.put(service, rank))) {
                EventLog.event(LogEvent.FLOOR_RAISED)
                        .with(EventField.SERVICE, service)
                        .with(EventField.FLOOR_RANK, rank)
                        .with(EventField.PEER, host)
                        .call();
            }
        } else if (frame.hasFloorLower()
                && loggedFloors.remove(frame.getFloorLower().getService()) != null) {
            EventLog.event(LogEvent.FLOOR_LOWERED)
                    .with(EventField.SERVICE, frame.getFloorLower().getService())
                    .with(EventField.PEER, host)
                    .call();
        }
    }

    /** Logs the differences between two snapshots of the slices. */
    void logChanges(List<SliceState> before, List<SliceState> after) {
        Map<String, SliceState> previousByName = new HashMap<>();
        before.forEach(state -> previousByName.put(name(state), state));
        for (SliceState state : after) {
            SliceState previous = previousByName.remove(name(state));
            shareChanged(previous, state);
            targetsChanged(previous, state);
        }
        previousByName.forEach((name, state) -> lost(name, "slice is no longer handled by this process"));
    }

    private static void shareChanged(SliceState previous, SliceState state) {
        double before = previous == null ? 0 : previous.getShare();
        if (before != state.getShare() && state.getShare() > 0) {
            EventLog.event(LogEvent.SLICE_OWNED)
                    .with(EventField.SLICE, name(state))
                    .with(EventField.SHARE, state.getShare())
                    .call();
        } else if (before > 0 && state.getShare() == 0) {
            lost(name(state), "pledges have expired");
        }
    }

    private static void lost(String slice, String reason) {
        EventLog.event(LogEvent.SLICE_LOST)
                .with(EventField.SLICE, slice)
                .with(EventField.REASON, reason)
                .call();
    }

    private static void targetsChanged(SliceState previous, SliceState state) {
        Map<String, String> before = new HashMap<>();
        if (previous != null) {
            previous.getTargetsList().forEach(target -> before.put(target.getName(), target.getState()));
        }
        for (TargetState target : state.getTargetsList()) {
            String from = before.getOrDefault(target.getName(), "unknown");
            if (!from.equals(target.getState())) {
                EventLog.event(LogEvent.TARGET_STATE)
                        .with(EventField.TARGET, target.getName())
                        .with(EventField.FROM, from)
                        .with(EventField.TO, target.getState())
                        .with(EventField.LIMIT, target.getLimit())
                        .call();
            }
        }
    }

    private static String name(SliceState state) {
        return state.getService() + "/" + state.getDataCentre() + "/" + state.getIndex();
    }

    static String name(SliceId slice) {
        return slice.getService() + "/" + slice.getDataCentre() + "/" + slice.getIndex();
    }
}
