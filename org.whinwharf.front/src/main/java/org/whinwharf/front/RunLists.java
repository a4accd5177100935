package org.whinwharf.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.wire.fleet.RunUnderWay;
import org.whinwharf.wire.fleet.RunsUnderWay;

/**
 * Splits lists of running requests into messages of bounded size, and joins the messages of peers.
 *
 * <p>A list replaces all that its receiver knew of the sender, so that it is applied only once all of its messages have
 * arrived.
 */
final class RunLists {
    /** Maximum size of the runs in a message, in bytes. */
    static final int MAX_RUN_BYTES = 30_000;

    private final Map<Sender, Incomplete> incompleteLists = new HashMap<>();

    private record Sender(String process, String service) {}

    /** The messages that have arrived of one list, by their numbers. */
    private record Incomplete(long list, Map<Integer, RunsUnderWay> parts) {}

    /**
     * Returns the messages of a list.
     *
     * @param list number of the list, unique among those of this process
     */
    static List<RunsUnderWay> split(String service, List<RunUnderWay> runs, long list) {
        List<RunsUnderWay.Builder> parts = new ArrayList<>();
        RunsUnderWay.Builder last = RunsUnderWay.newBuilder().setService(service);
        parts.add(last);
        int bytes = 0;
        for (RunUnderWay run : runs) {
            bytes += run.getSerializedSize();
            if (bytes > MAX_RUN_BYTES && last.getRunsCount() > 0) {
                last = RunsUnderWay.newBuilder().setService(service);
                parts.add(last);
                bytes = run.getSerializedSize();
            }
            last.addRuns(run);
        }
        if (parts.size() > 1) {
            for (int i = 0; i < parts.size(); i++) {
                parts.get(i).setList(list).setPart(i).setParts(parts.size());
            }
        }
        return parts.stream().map(RunsUnderWay.Builder::build).toList();
    }

    /**
     * Receives a message.
     *
     * @param process name of the sender
     * @return the runs of the whole list if the message completes one
     */
    Optional<List<RunUnderWay>> join(String process, RunsUnderWay message) {
        Sender sender = new Sender(process, message.getService());
        if (message.getParts() <= 1) {
            incompleteLists.remove(sender);
            return Optional.of(message.getRunsList());
        }
        Incomplete incomplete = incompleteLists.get(sender);
        if (incomplete == null || incomplete.list() != message.getList()) {
            incomplete = new Incomplete(message.getList(), new HashMap<>());
            incompleteLists.put(sender, incomplete);
        }
        incomplete.parts().put(message.getPart(), message);
        if (incomplete.parts().size() < message.getParts()) {
            return Optional.empty();
        }
        incompleteLists.remove(sender);
        List<RunUnderWay> runs = new ArrayList<>();
        incomplete.parts().values().forEach(part -> runs.addAll(part.getRunsList()));
        return Optional.of(runs);
    }
}
