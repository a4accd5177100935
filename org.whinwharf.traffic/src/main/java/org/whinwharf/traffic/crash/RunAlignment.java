package org.whinwharf.traffic.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Undoes the delays of the messages by which the runs of other processes are known. */
final class RunAlignment {
    private RunAlignment() {}

    /**
     * Places the runs of each process at their distances by its own clock, as early as the least delayed of them.
     *
     * @param runs lost runs
     * @return the runs, in the order of their ends
     */
    static List<LostRun> align(Collection<LostRun> runs) {
        Map<Integer, Long> offsetMillisByProcess = new HashMap<>();
        for (LostRun run : runs) {
            run.originSentMillis()
                    .ifPresent(originMillis ->
                            offsetMillisByProcess.merge(run.process(), run.sentAtMillis() - originMillis, Math::min));
        }
        return runs.stream()
                .map(run -> run.originSentMillis().isEmpty()
                        ? run
                        : moveTo(run, run.originSentMillis().getAsLong() + offsetMillisByProcess.get(run.process())))
                .sorted(LostRun.BY_END)
                .toList();
    }

    private static LostRun moveTo(LostRun run, long sentAtMillis) {
        long delayMillis = run.sentAtMillis() - sentAtMillis;
        return delayMillis == 0
                ? run
                : ImmutableLostRun.copyOf(run)
                        .withSentAtMillis(sentAtMillis)
                        .withEndedAtMillis(run.endedAtMillis() - delayMillis);
    }
}
