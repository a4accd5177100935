package org.whinwharf.traffic.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.traffic.crash.Fingerprint;

/**
 * The requests that all processes have in flight at the targets of one service, as known to the coordinator.
 *
 * <p>Reports that a request has ended can be lost, and processes crash with requests in flight. If such requests were
 * counted for ever, they would gradually use up the slots of a target. Each process therefore reports all its requests
 * in flight at intervals, which replaces the known ones, and the requests of a process that stops reporting expire.
 */
public final class RunningRequests {
    /** Time without a report after which the requests of a process expire: three and a half report intervals. */
    private static final long REPORT_TIMEOUT_MILLIS = 3_500;
    /** Age up to which a report may not include a granted request yet: the time to deliver a resent datagram. */
    private static final long MAX_GRANT_DELIVERY_MILLIS = 400;

    private final Map<String, Map<Long, Run>> runsByProcess = new HashMap<>();
    private final Map<String, Map<Long, Long>> grantedAtMillis = new HashMap<>();
    private final Map<String, Long> lastReportAtMillis = new HashMap<>();
    private final Map<String, Load> loadsByTarget = new HashMap<>();
    private final LoadListener listener;

    /**
     * Creates an instance without requests.
     *
     * @param listener listener for each change of a load
     */
    public RunningRequests(LoadListener listener) {
        this.listener = listener;
    }

    /**
     * A request in flight.
     *
     * @param targetId id of the target
     * @param prefillTokens prompt tokens that the target has yet to read
     * @param suspect content of the request if a target may have crashed under it; empty if not
     * @param organisationDigest digest of the name of the organisation; 0 if there is none or it is unknown
     * @param tierRank combined rank of the organisation and the route; 0 if the organisation is unknown
     */
    public record Run(
            String targetId, long prefillTokens, Optional<Fingerprint> suspect, int organisationDigest, int tierRank) {
        /**
         * Creates a request of an unknown organisation.
         *
         * @param targetId id of the target
         * @param prefillTokens prompt tokens that the target has yet to read
         * @param suspect content of the request if a target may have crashed under it; empty if not
         */
        public Run(String targetId, long prefillTokens, Optional<Fingerprint> suspect) {
            this(targetId, prefillTokens, suspect, 0, 0);
        }

        /**
         * Creates a request under which no target may have crashed.
         *
         * @param targetId id of the target
         * @param prefillTokens prompt tokens that the target has yet to read
         */
        public Run(String targetId, long prefillTokens) {
            this(targetId, prefillTokens, Optional.empty());
        }

        private Run withoutPrefill() {
            return new Run(targetId, 0, suspect, organisationDigest, tierRank);
        }
    }

    /**
     * The load of all requests in flight at one target.
     *
     * @param running number of requests
     * @param prefillTokens prompt tokens that the target has yet to read
     */
    public record Load(int running, long prefillTokens) {
        /** Load of a target without requests. */
        public static final Load NONE = new Load(0, 0);
    }

    /**
     * Records a grant.
     *
     * @param process name of the requesting process
     * @param id id of the placement request
     * @param run granted request
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordGrant(String process, long id, Run run, long nowMillis) {
        lastReportAtMillis.putIfAbsent(process, nowMillis);
        put(process, id, run);
        grantedAtMillis.computeIfAbsent(process, name -> new HashMap<>()).put(id, nowMillis);
    }

    /**
     * Returns a granted request that is still in flight.
     *
     * @param process name of the requesting process
     * @param id id of the placement request
     * @return request; empty if it is not known or has ended
     */
    public Optional<Run> find(String process, long id) {
        return Optional.ofNullable(runsByProcess.getOrDefault(process, Map.of()).get(id));
    }

    /**
     * Records that a target has read the prompt of a request.
     *
     * @param process name of the process that sent the request
     * @param id id of the placement request
     * @return previous state of the request; empty if it is not known
     */
    public Optional<Run> recordPrefill(String process, long id) {
        Optional<Run> run = find(process, id);
        run.ifPresent(known -> put(process, id, known.withoutPrefill()));
        return run;
    }

    /**
     * Records the end of a request.
     *
     * @param process name of the process that sent the request
     * @param id id of the placement request
     * @return previous state of the request; empty if it is not known
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
     * Replaces the requests of a process with those that it reports, as far as the report covers them. Keeps recent
     * grants that the report may not include yet.
     *
     * @param process name of the reporting process
     * @param part part of the requests that the report covers
     * @param runs requests of this part in flight, by the ids of their placement requests
     * @param nowMillis monotonic time in milliseconds
     */
    public void reconcile(String process, RunListPart part, Map<Long, Run> runs, long nowMillis) {
        lastReportAtMillis.put(process, nowMillis);
        Map<Long, Long> recent = grantedAtMillis.computeIfAbsent(process, name -> new HashMap<>());
        recent.values().removeIf(atMillis -> nowMillis - atMillis > MAX_GRANT_DELIVERY_MILLIS);
        for (Long id : List.copyOf(runsByProcess.getOrDefault(process, Map.of()).keySet())) {
            if (part.holds(id) && !runs.containsKey(id) && !recent.containsKey(id)) {
                recordEnd(process, id);
            }
        }
        runs.forEach((id, run) -> put(process, id, run));
    }

    /**
     * Removes the requests of processes that have stopped reporting.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return removed requests of each of these processes, by the ids of their placement requests
     */
    public Map<String, Map<Long, Run>> expireSilent(long nowMillis) {
        Map<String, Map<Long, Run>> expired = new HashMap<>();
        for (Iterator<Map.Entry<String, Long>> all =
                        lastReportAtMillis.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<String, Long> process = all.next();
            if (nowMillis - process.getValue() > REPORT_TIMEOUT_MILLIS) {
                all.remove();
                grantedAtMillis.remove(process.getKey());
                Map<Long, Run> runs = runsByProcess.remove(process.getKey());
                expired.put(process.getKey(), runs == null ? Map.of() : runs);
                if (runs != null) {
                    runs.values().forEach(run -> adjustLoad(run, -1));
                }
            }
        }
        return expired;
    }

    /**
     * Returns the load in flight at a target.
     *
     * @param targetId id of the target
     * @return number of requests and prompt tokens
     */
    public Load load(String targetId) {
        return loadsByTarget.getOrDefault(targetId, Load.NONE);
    }

    /**
     * Returns the requests in flight under which a target may have crashed.
     *
     * @return requests, in a new list
     */
    public List<Run> suspects() {
        List<Run> suspects = new ArrayList<>();
        for (Map<Long, Run> runs : runsByProcess.values()) {
            for (Run run : runs.values()) {
                if (run.suspect().isPresent()) {
                    suspects.add(run);
                }
            }
        }
        return suspects;
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
