package org.whinwharf.pgm.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Table;

/**
 * How the fleet stands.
 *
 * @param environment name of the environment
 * @param publishedGeneration generation that the configuration service publishes; 0 when it could not be read
 * @param publishedFaults why no published document could be read; empty when one was
 * @param highestGeneration highest generation in force at any process that answered
 * @param liveHosts hosts of the list that are live, targets among them
 * @param leavingHosts hosts of the list that are leaving
 * @param dataCentres data centres
 * @param services services by data centre
 * @param queues what waits, by service and tier
 * @param processes processes that answered
 * @param lagging processes whose generation is below the highest known one
 * @param unreachable processes that did not answer
 */
public record StatusReport(
        String environment,
        long publishedGeneration,
        List<String> publishedFaults,
        long highestGeneration,
        int liveHosts,
        int leavingHosts,
        List<Centre> dataCentres,
        List<ServiceTargets> services,
        List<Queue> queues,
        List<ProcessState> processes,
        List<String> lagging,
        List<String> unreachable)
        implements Report {

    /**
     * A data centre.
     *
     * @param name its name
     * @param inService true, false, or unknown when no document could be read
     * @param entryHosts live hosts that run this system
     * @param targets live targets
     */
    public record Centre(String name, String inService, int entryHosts, int targets) {}

    /**
     * Targets of a service in a data centre.
     *
     * @param service name of the service
     * @param dataCentre name of the data centre
     * @param warm targets that are warm
     * @param cold targets that are cold or warming
     * @param leaving targets that are leaving
     * @param unknown targets that no owner told of
     * @param inFlight requests at the targets
     * @param limit requests that the targets bear at once, as learned
     */
    public record ServiceTargets(
            String service, String dataCentre, int warm, int cold, int leaving, int unknown, int inFlight, int limit) {}

    /**
     * What waits.
     *
     * @param service name of the service
     * @param tier name of the tier, or its rank when no document could be read
     * @param waiting requests
     */
    public record Queue(String service, String tier, int waiting) {}

    /**
     * A process that answered.
     *
     * @param host name of its host
     * @param role entry, scheduler or steward
     * @param dataCentre its data centre
     * @param generation document generation in force
     * @param ready true when it serves
     * @param leaving true once its planned stop has begun
     * @param documentAgeMillis age of what it last heard from the configuration service; negative when it never did
     * @param reasons why it is not ready, and faults that it reports
     */
    public record ProcessState(
            String host,
            String role,
            String dataCentre,
            long generation,
            boolean ready,
            boolean leaving,
            long documentAgeMillis,
            List<String> reasons) {}

    @Override
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        String published =
                publishedGeneration == 0 ? PgmText.get("status.unpublished") : Long.toString(publishedGeneration);
        lines.add(PgmText.get("status.document", environment, published, Long.toString(highestGeneration)));
        publishedFaults.forEach(fault -> lines.add(PgmText.get("status.fault", fault)));
        lines.add(PgmText.get("status.hosts", liveHosts, leavingHosts));
        block(lines, centreTable());
        block(lines, serviceTable());
        block(lines, queueTable());
        block(lines, processTable());
        for (ProcessState process : processes) {
            process.reasons().forEach(reason -> lines.add(process.host() + " " + process.role() + ": " + reason));
        }
        lines.add("");
        lines.add(
                lagging.isEmpty()
                        ? PgmText.get("status.no-lag")
                        : PgmText.get("status.lag", String.join(", ", lagging)));
        unreachable.forEach(each -> lines.add(PgmText.get("status.unreachable", each)));
        return lines;
    }

    private static void block(List<String> lines, Table table) {
        List<String> rows = table.lines();
        if (!rows.isEmpty()) {
            lines.add("");
            lines.addAll(rows);
        }
    }

    private Table centreTable() {
        Table table = new Table("DATA CENTRE", "IN SERVICE", "ENTRY HOSTS", "TARGETS");
        dataCentres.forEach(each -> table.row(each.name(), each.inService(), each.entryHosts(), each.targets()));
        return table;
    }

    private Table serviceTable() {
        Table table = new Table("SERVICE", "DATA CENTRE", "WARM", "COLD", "LEAVING", "UNKNOWN", "IN FLIGHT", "LIMIT");
        services.forEach(each -> table.row(
                each.service(),
                each.dataCentre(),
                each.warm(),
                each.cold(),
                each.leaving(),
                each.unknown(),
                each.inFlight(),
                each.limit()));
        return table;
    }

    private Table queueTable() {
        Table table = new Table("SERVICE", "TIER", "WAITING");
        queues.forEach(each -> table.row(each.service(), each.tier(), each.waiting()));
        return table;
    }

    private Table processTable() {
        Table table = new Table("HOST", "ROLE", "DATA CENTRE", "GENERATION", "STATE", "CONFIGURATION HEARD");
        for (ProcessState each : processes) {
            String state = each.leaving() ? "leaving" : each.ready() ? "ready" : "not-ready";
            String age = each.documentAgeMillis() < 0
                    ? PgmText.get("status.never")
                    : PgmText.get("status.age", Long.toString(each.documentAgeMillis()));
            table.row(each.host(), each.role(), each.dataCentre(), each.generation(), state, age);
        }
        return table;
    }
}
