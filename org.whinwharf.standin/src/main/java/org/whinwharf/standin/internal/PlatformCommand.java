package org.whinwharf.standin.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.whinwharf.wire.schema.HostList;

/** Starts the configuration service and the host list. */
@Command(name = PlatformCommand.NAME, description = "Configuration service and host list")
public final class PlatformCommand extends ServerCommand {
    static final String NAME = "platform";

    @Option(name = "--hosts", title = "FILE", description = "Host list in protobuf's JSON form")
    @Required
    private String hosts;

    @Option(
            name = "--documents",
            title = "DIR",
            description = "Documents; a file's name up to the first dot is the environment")
    @Required
    private String documents;

    @Option(name = "--reads-per-second", title = "N", description = "Calls a second, over both services")
    private double readsPerSecond = 2000;

    @Override
    public void run() {
        Platform platform = new Platform(readsPerSecond);
        try {
            String json = Files.readString(Path.of(hosts));
            platform.publish(Json.parse(json, HostList.newBuilder()).build());
            publishAll(platform);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        serve(NAME, platform);
    }

    private void publishAll(Platform platform) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of(documents))) {
            for (Path file : files) {
                String environment = file.getFileName().toString().split("\\.")[0];
                platform.publish(environment, Files.readAllBytes(file), Optional.empty());
            }
        }
    }
}
