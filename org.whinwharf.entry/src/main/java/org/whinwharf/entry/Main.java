package org.whinwharf.entry;

import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.command.DaemonCommand;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.NodeSettings;

/** Program {@code whinwharf-entry}. */
@Command(name = "whinwharf-entry", description = "Speaks with callers and is the home of their requests")
public final class Main extends DaemonCommand<EntrySettings> {
    /** Creates the command; Airline fills in its options. */
    public Main() {}

    /**
     * Runs the program.
     *
     * @param arguments command line
     */
    public static void main(String... arguments) {
        main(Main.class, arguments);
    }

    @Override
    protected EntrySettings prototype() {
        return EntrySettings.getDefaultInstance();
    }

    @Override
    protected NodeSettings node(EntrySettings checked) {
        return checked.getNode();
    }

    @Override
    protected Daemon daemon(EntrySettings checked) {
        return new EntryDaemon(checked);
    }

    @Override
    protected List<String> check(EntrySettings checked) {
        List<String> faults = new ArrayList<>();
        if (checked.hasTls()) {
            requireReadable(checked.getTls().getKeyStoreFile(), "tls.keyStoreFile", faults);
            requireReadable(checked.getTls().getPasswordFile(), "tls.passwordFile", faults);
        }
        return faults;
    }

    private static void requireReadable(String file, String field, List<String> faults) {
        if (!Files.isReadable(Path.of(file))) {
            faults.add(field + ": " + file);
        }
    }
}
