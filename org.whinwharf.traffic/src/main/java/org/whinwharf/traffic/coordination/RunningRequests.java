package org.whinwharf.traffic.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What all processes have under way at the targets of one service, as their coordinator knows it.
 *
 * <p>Words of an end get lost, and processes die with requests under way. Counted for ever, these would close a target
 * bit by bit. So each process says now and then all it has under way, which replaces what was known of it, and a
 * process that says nothing for a while has nothing under way.
 */
public final class RunningRequests {
    /** Silence of a process after which its requests are dropped: three of its lists and a half. */
    private static final long REPORT_TIMEOUT_MILLIS = 3_500;
    /** Age up to which a grant may not have reached its process when that made its list: a resent datagram's way. */
    private static final long MAX_GRANT_DELIVERY_MILLIS = 400;

    private final Map<String, Map<Long, Run>> runsByProcess = new HashMap<>();
    private final Map<String, Map<Long, Long>> grantedAtMillis = new HashMap<>();
    private final Map<String, Long> lastReportAtMillis = new HashMap<>();
    private final Map<String, Load> loadsByTarget = new HashMap<>();
    private final LoadListener listener;

    /**
     * Creates an empty count.
     *
     * @param listener hears of each change
     */
    public RunningRequests(LoadListener listener) {
        this.listener = listener;
    }

    /**
     * One request under way.
     *
     * @param targetId id of its target
     * @param prefillTokens prompt tokens the target has yet to read
     */
    public record Run(String targetId, long prefillTokens) {}

    /**
     * All requests under way at one target.
     *
     * @param running requests
     * @param prefillTokens prompt tokens the target has yet to read
     */
    public record Load(int running, long prefillTokens) {
        /** Nothing under way. */
        public static final Load NONE = new Load(0, 0);
    }

    /**
     * Notes a grant.
     *
     * @param process who got it
     * @param id id of the ask
     * @param run what was granted
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordGrant(String process, long id, Run run, long nowMillis) {
        lastReportAtMillis.putIfAbsent(process, nowMillis);
        put(process, id, run);
        grantedAtMillis.computeIfAbsent(process, name -> new HashMap<>()).put(id, nowMillis);
    }

    /**
     * Returns the grant of an ask that came before.
     *
     * @param process who asks
     * @param id id of the ask
     * @return what was granted, while it is under way
     */
    public Optional<Run> find(String process, long id) {
        return Optional.ofNullable(runsByProcess.getOrDefault(process, Map.of()).get(id));
    }

    /**
     * Notes that a target has read a prompt.
     *
     * @param process who sent it
     * @param id id of the ask
     * @return the request as it was before; empty when it is not known
     */
    public Optional<Run> recordPrefill(String process, long id) {
        Optional<Run> run = find(process, id);
        run.ifPresent(known -> put(process, id, new Run(known.targetId(), 0)));
        return run;
    }

    /**
     * Notes the end of a request.
     *
     * @param process who sent it
     * @param id id of the ask
     * @return the request as it was before; empty when it is not known
     */
    public Optional<Run> recordEnd(String process, long id) {
        Map<Long, Run> runs = runsByProcess.get(process);
        Run run = runs == null ? null : runs.remove(id);
        if (run != null) {
            adjustLoad(run, -1);
        }
        return Optional.ofNullable(run);
    }

    /**
     * Takes all that a process has under way.
     *
     * @param process who says it
     * @param runs its requests, by id
     * @param nowMillis monotonic time in milliseconds
     */
    public void reconcile(String process, Map<Long, Run> runs, long nowMillis) {
        lastReportAtMillis.put(process, nowMillis);
        Map<Long, Long> recent = grantedAtMillis.computeIfAbsent(process, name -> new HashMap<>());
        recent.values().removeIf(atMillis -> nowMillis - atMillis > MAX_GRANT_DELIVERY_MILLIS);
        for (Long id : List.copyOf(runsByProcess.getOrDefault(process, Map.of()).keySet())) {
            if (!runs.containsKey(id) && !recent.containsKey(id)) {
                recordEnd(process, id);
            }
        }
        runs.forEach((id, run) -> put(process, id, run));
    }

    /**
     * Drops the requests of processes that have been silent for long.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return names of these processes
     */
    public List<String> expireSilent(long nowMillis) {
        List<String> dropped = new ArrayList<>();
        for (Iterator<Map.Entry<String, Long>> all =
                        lastReportAtMillis.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<String, Long> process = all.next();
            if (nowMillis - process.getValue() > REPORT_TIMEOUT_MILLIS) {
                all.remove();
                dropped.add(process.getKey());
                grantedAtMillis.remove(process.getKey());
                Map<Long, Run> runs = runsByProcess.remove(process.getKey());
                if (runs != null) {
                    runs.values().forEach(run -> adjustLoad(run, -1));
                }
            }
        }
        return dropped;
    }

    /**
     * Returns what is under way at a target.
     *
     * @param targetId id of the target
     * @return requests and prompt tokens
     */
    public Load load(String targetId) {
        return loadsByTarget.getOrDefault(targetId, Load.NONE);
    }

    private void put(String process, long id, Run run) {
        Run before =
                runsByProcess.computeIfAbsent(process, name -> new HashMap<>()).put(id, run);
        if (before != null) {
            adjustLoad(before, -1);
        }
        adjustLoad(run, 1);
    }

    private void adjustLoad(Run run, int sign) {
        Load load = load(run.targetId());
        Load next = new Load(load.running() + sign, load.prefillTokens() + sign * run.prefillTokens());
        if (next.running() == 0) {
            loadsByTarget.remove(run.targetId());
        } else {
            loadsByTarget.put(run.targetId(), next);
        }
        listener.changed(run.targetId(), next);
    }
}
