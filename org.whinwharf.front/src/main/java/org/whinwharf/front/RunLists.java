package org.whinwharf.front;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.traffic.coordination.RunListPart;
import org.whinwharf.wire.fleet.RunUnderWay;
import org.whinwharf.wire.fleet.RunsUnderWay;

/** Converts lists of running requests to and from messages of bounded size. */
final class RunLists {
    /** Size of the runs in a message, in bytes, from which a list is split further. */
    private static final int MAX_RUN_BYTES = 30_000;

    private RunLists() {}

    /** Returns the messages of a list; each holds a part that is applied without the others, since they may be lost. */
    static List<RunsUnderWay> toMessages(String service, List<RunUnderWay> runs) {
        int count = 1;
        List<RunsUnderWay.Builder> parts = split(service, runs, count);
        while (count < runs.size() && parts.stream().anyMatch(RunLists::tooLong)) {
            count *= 2;
            parts = split(service, runs, count);
        }
        if (count > 1) {
            for (int i = 0; i < count; i++) {
                parts.get(i).setPart(i).setParts(count);
            }
        }
        return parts.stream().map(RunsUnderWay.Builder::build).toList();
    }

    private static boolean tooLong(RunsUnderWay.Builder message) {
        return message.getRunsList().stream()
                        .mapToInt(RunUnderWay::getSerializedSize)
                        .sum()
                > MAX_RUN_BYTES;
    }

    private static List<RunsUnderWay.Builder> split(String service, List<RunUnderWay> runs, int count) {
        List<RunsUnderWay.Builder> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RunListPart part = new RunListPart(i, count);
            RunsUnderWay.Builder message = RunsUnderWay.newBuilder().setService(service);
            runs.stream().filter(run -> part.holds(run.getId())).forEach(message::addRuns);
            parts.add(message);
        }
        return parts;
    }

    /** Returns the part that a message holds; a message without numbers holds the whole list. */
    static RunListPart partOf(RunsUnderWay message) {
        return message.getParts() > 1 ? new RunListPart(message.getPart(), message.getParts()) : RunListPart.WHOLE;
    }
}
