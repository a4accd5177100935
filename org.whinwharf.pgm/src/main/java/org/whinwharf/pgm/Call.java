package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.call.CallReport;
import org.whinwharf.pgm.internal.call.CallSession;
import org.whinwharf.pgm.internal.call.CallerClient;
import org.whinwharf.wire.caller.SubmitRequest;
import org.whinwharf.wire.schema.OperatorSettings;

/** Sends one request as a caller would, and shows its progress. */
@Command(name = "call", description = "Send a request as a caller would, streamed, with progress")
public final class Call extends OperatorCommand {
    @Option(name = "--service", title = "NAME", description = "Service to ask")
    @Required
    private String service;

    @Option(name = "--model", title = "NAME", description = "Model; engines only")
    private String model = "";

    @Option(name = "--prompt", title = "TEXT", description = "Prompt; engines only")
    private String prompt = "";

    @Option(name = "--prompt-file", title = "FILE", description = "File that holds the prompt; - for standard input")
    private String promptFile;

    @Option(name = "--max-tokens", title = "N", description = "Bound on the answer's tokens; engines only")
    private int maxTokens;

    @Option(name = "--call", title = "NAME", description = "Call of a plain service")
    private String plainCall = "";

    @Option(name = "--body", title = "TEXT", description = "Body of the call; plain services only")
    private String body = "";

    @Option(name = "--deadline-millis", title = "N", description = "Longest wait for the whole answer")
    private long deadlineMillis;

    @Option(name = "--stream", description = "Show the answer as it comes; the default for engines")
    private boolean stream;

    @Option(name = "--whole", description = "Ask for one whole answer; the default for plain services")
    private boolean whole;

    @Option(name = "--credential-file", title = "FILE", description = "File that holds the credential")
    private String credentialFile;

    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        OperatorSettings settings = requireSettings();
        SubmitRequest request = SubmitRequest.newBuilder()
                .setService(service)
                .setModel(model)
                .setPrompt(promptFile == null ? prompt : read(promptFile, terminal))
                .setMaxTokens(maxTokens)
                .setCall(plainCall)
                .setBody(body)
                .setDeadlineMillis(deadlineMillis)
                .setStream(stream || !whole && plainCall.isEmpty())
                .build();
        String credential = credential(settings, terminal);
        try (CallerClient client = new CallerClient(credential, deadlineMillis)) {
            CallSession session = new CallSession(client, settings.getEntriesList(), terminal, !isJson());
            CallReport report = session.call(request);
            print(terminal, report);
            return report.exit();
        }
    }

    private String credential(OperatorSettings settings, Terminal terminal) throws CommandFailure {
        String file = credentialFile == null ? settings.getCredentialFile() : credentialFile;
        if (file.isEmpty()) {
            throw new CommandFailure(OperatorExit.USAGE, PgmText.get("usage.credential"));
        }
        return read(file, terminal).strip();
    }

    private static String read(String file, Terminal terminal) throws CommandFailure {
        try {
            return file.equals("-")
                    ? new String(terminal.in().readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CommandFailure(OperatorExit.FAILED, PgmText.get("file.unreadable", file, e.toString()));
        }
    }
}
