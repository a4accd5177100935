package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.Http;
import org.whinwharf.pgm.internal.HttpAnswer;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.fleet.FleetReader;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.status.ExplainEvent;
import org.whinwharf.wire.status.Explanation;

/** Tells what became of one request and why, as its home recorded it. */
@Command(name = "explain", description = "Tell what became of a request and why")
public final class Explain extends OperatorCommand {
    private static final int STATUS_NOT_FOUND = 404;

    @Arguments(title = "REQUEST", description = "Id of the request, as the caller got it")
    @Required
    private String request;

    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        int end = request.indexOf('.');
        if (end <= 0) {
            throw new CommandFailure(OperatorExit.USAGE, PgmText.get("explain.id", request));
        }
        String home = request.substring(0, end);
        try (Http http = new Http()) {
            Host host = host(http, home);
            String url =
                    "http://" + host.getAddress() + ":" + host.getEntry().getEntryAdmin() + "/v1/explain/" + request;
            print(terminal, report(home, url, http.get(url)));
            return OperatorExit.OK;
        }
    }

    private Host host(Http http, String home) throws CommandFailure {
        return new FleetReader(http, requireSettings())
                .hosts().getHostsList().stream()
                        .filter(host -> host.getName().equals(home) && host.hasEntry())
                        .findFirst()
                        .orElseThrow(() ->
                                new CommandFailure(OperatorExit.NOT_FOUND, PgmText.get("explain.gone", home, request)));
    }

    private ExplainReport report(String home, String url, HttpAnswer answer) throws CommandFailure {
        if (!(answer instanceof HttpAnswer.Answered answered)) {
            throw FleetReader.unreachable(url, answer);
        }
        if (answered.status() == STATUS_NOT_FOUND) {
            throw new CommandFailure(OperatorExit.NOT_FOUND, PgmText.get("explain.unknown", home, request));
        }
        if (!answered.isOk()) {
            throw FleetReader.unreachable(url, answer);
        }
        Explanation.Builder explanation = Explanation.newBuilder();
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(answered.text(), explanation);
        } catch (InvalidProtocolBufferException e) {
            throw new CommandFailure(OperatorExit.UNREACHABLE, PgmText.get("unreadable", url, e.getMessage()));
        }
        return new ExplainReport(
                request,
                home,
                explanation.getEventsList().stream().map(Step::of).toList());
    }

    private record ExplainReport(String request, String home, List<Step> steps) implements Report {
        @Override
        public List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add(PgmText.get("explain.head", request, home));
            steps.forEach(step -> lines.add(step.line()));
            return lines;
        }
    }

    private record Step(String at, String event, Map<String, String> fields) {
        private static final String DETAIL = "detail";

        static Step of(ExplainEvent event) {
            String at = Instant.ofEpochMilli(event.getAtUnixMillis()).toString();
            return new Step(at, event.getEvent(), new TreeMap<>(event.getFieldsMap()));
        }

        String line() {
            String key = "explain.event." + event;
            String text = PgmText.has(key) ? PgmText.get(key) : event;
            StringBuilder line = new StringBuilder(at).append("  ").append(text);
            String detail = fields.getOrDefault(DETAIL, "");
            if (!detail.isEmpty()) {
                line.append(": ").append(detail);
            }
            fields.forEach((name, value) -> {
                if (!name.equals(DETAIL)) {
                    line.append("  ").append(name).append('=').append(value);
                }
            });
            return line.toString();
        }
    }
}
