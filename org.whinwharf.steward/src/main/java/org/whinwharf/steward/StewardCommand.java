package org.whinwharf.steward;

import com.github.rvesse.airline.annotations.Command;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.command.DaemonCommand;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.schema.StewardSettings;

/** Command line of {@code whinwharf-steward}. */
@Command(name = "whinwharf-steward", description = "Brings model engines to what the document says")
public final class StewardCommand extends DaemonCommand<StewardSettings> {
    @Override
    protected StewardSettings prototype() {
        return StewardSettings.getDefaultInstance();
    }

    @Override
    protected NodeSettings node(StewardSettings checked) {
        return checked.getNode();
    }

    @Override
    protected Daemon daemon(StewardSettings checked) {
        return new StewardDaemon(checked);
    }
}
