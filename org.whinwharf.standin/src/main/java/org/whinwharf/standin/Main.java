package org.whinwharf.standin;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.whinwharf.standin.internal.EngineCommand;
import org.whinwharf.standin.internal.PlainCommand;
import org.whinwharf.standin.internal.PlatformCommand;
import org.whinwharf.standin.internal.WeightsCommand;
import org.whinwharf.wire.netty.NettyBuffers;

/** Program {@code whinwharf-standin}: plays what lies outside the system, for trials and tests. */
@com.github.rvesse.airline.annotations.Cli(
        name = "whinwharf-standin",
        description = "Plays engines, plain services, the weight store and the platform",
        defaultCommand = Help.class,
        commands = {Help.class, PlatformCommand.class, EngineCommand.class, PlainCommand.class, WeightsCommand.class})
public final class Main {
    private static final int USAGE_EXIT = 64;

    private Main() {}

    /**
     * Runs one stand-in until the process is stopped.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        NettyBuffers.usePooledAllocator();
        try {
            new Cli<Runnable>(Main.class).parse(arguments).run();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT);
        }
    }
}
