package org.whinwharf.pgm.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinwharf.document.DocumentReader;
import org.whinwharf.pgm.OperatorExit;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.Http;
import org.whinwharf.pgm.internal.HttpAnswer;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.OperatorSettings;
import org.whinwharf.wire.status.NodeStatus;

/** Reads the platform's host list and document, and the status of every process of the list. */
public final class FleetReader {
    private final Http http;
    private final OperatorSettings settings;

    /**
     * Makes a reader.
     *
     * @param http client
     * @param settings where the platform is
     */
    public FleetReader(Http http, OperatorSettings settings) {
        this.http = http;
        this.settings = settings;
    }

    /**
     * Reads the host list.
     *
     * @return host list
     * @throws CommandFailure when it cannot be read
     */
    public HostList hosts() throws CommandFailure {
        String url = settings.getHostListUrl() + "/v1/hosts?after=0&waitMillis=0";
        HttpAnswer answer = http.get(url);
        if (answer instanceof HttpAnswer.Answered answered && answered.isOk()) {
            HostList.Builder hosts = HostList.newBuilder();
            merge(answered.text(), hosts, url);
            return hosts.build();
        }
        throw unreachable(url, answer);
    }

    /**
     * Reads the published document.
     *
     * @return document, or its faults; the fault is {@link Problem#UNREADABLE} when the configuration service does not
     *     answer
     */
    public ReadResult<Document> document() {
        String service = settings.getConfigurationUrl();
        HttpAnswer answer = http.get(service + "/v1/documents/" + settings.getEnvironment() + "?above=0&waitMillis=0");
        if (answer instanceof HttpAnswer.Answered answered && answered.isOk()) {
            return DocumentReader.read(answered.body(), service);
        }
        Fault fault = new Fault(service, 0, 0, "", Problem.UNREADABLE, reason(answer), "");
        return new ReadResult.Invalid<>(List.of(fault));
    }

    /**
     * Asks every process of the host list for its status.
     *
     * @param hosts host list
     * @return a reading for each process, in the order of the list
     */
    public List<Reading> statuses(HostList hosts) {
        List<Process> processes = new ArrayList<>();
        for (Host host : hosts.getHostsList()) {
            if (host.hasEntry()) {
                EntryPorts ports = host.getEntry();
                addProcess(processes, host, "entry", ports.getEntryAdmin());
                addProcess(processes, host, "scheduler", ports.getSchedulerAdmin());
                addProcess(processes, host, "steward", ports.getStewardAdmin());
            }
        }
        List<HttpAnswer> answers =
                http.getAll(processes.stream().map(Process::url).toList());
        List<Reading> readings = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) {
            readings.add(reading(processes.get(i), answers.get(i)));
        }
        return readings;
    }

    /**
     * Makes the failure of something that did not answer as it should.
     *
     * @param url what was asked
     * @param answer what came
     * @return failure
     */
    public static CommandFailure unreachable(String url, HttpAnswer answer) {
        return new CommandFailure(OperatorExit.UNREACHABLE, PgmText.get("unreachable", url, reason(answer)));
    }

    private static void addProcess(List<Process> processes, Host host, String role, int port) {
        if (port > 0) {
            processes.add(new Process(host.getName(), role, "http://" + host.getAddress() + ":" + port + "/v1/status"));
        }
    }

    private static Reading reading(Process process, HttpAnswer answer) {
        if (answer instanceof HttpAnswer.Answered answered && answered.isOk()) {
            try {
                NodeStatus.Builder status = NodeStatus.newBuilder();
                merge(answered.text(), status, process.url());
                return new Reading(process.host(), process.role(), Optional.of(status.build()), "");
            } catch (CommandFailure failure) {
                return new Reading(process.host(), process.role(), Optional.empty(), failure.getMessage());
            }
        }
        return new Reading(process.host(), process.role(), Optional.empty(), reason(answer));
    }

    private static String reason(HttpAnswer answer) {
        if (answer instanceof HttpAnswer.Answered answered) {
            return PgmText.get("http.status", answered.status());
        }
        return ((HttpAnswer.Unreachable) answer).reason();
    }

    /** Reads what processes say of themselves; fields that a newer one adds are passed over. */
    private static void merge(String json, Message.Builder into, String url) throws CommandFailure {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(json, into);
        } catch (InvalidProtocolBufferException e) {
            throw new CommandFailure(OperatorExit.UNREACHABLE, PgmText.get("unreadable", url, e.getMessage()));
        }
    }

    private record Process(String host, String role, String url) {}
}
