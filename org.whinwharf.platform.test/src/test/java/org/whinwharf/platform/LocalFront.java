package org.whinwharf.platform;

import java.io.IOException;
import java.util.List;
import org.whinwharf.front.CallerPort;
import org.whinwharf.front.Front;
import org.whinwharf.front.ImmutableFrontSettings;

/** Fronts in the process of a test, with the platform's dialect. */
final class LocalFront {
    /** Port to which callers connect. */
    static final int CALLER_PORT = 18_411;

    private static final int PEER_PORT = 18_412;

    private LocalFront() {}

    /**
     * Creates a front that is not started.
     *
     * @param freshFleet true if the whole fleet starts for the first time
     */
    static Front create(String name, String ip, List<String> seedIps, boolean freshFleet) throws IOException {
        return new Front(
                ImmutableFrontSettings.builder()
                        .name(name)
                        .ip(ip)
                        .dataCentre("z")
                        .callerAddress(ip + ":" + CALLER_PORT)
                        .peerPort(PEER_PORT)
                        .seedIps(seedIps)
                        .freshFleet(freshFleet)
                        .retryRatio(0.2)
                        .retryAllowance(50)
                        .retryWindowMillis(10_000)
                        .stopGraceMillis(1_000)
                        .metricsPort(0)
                        .relayPort(0)
                        .build(),
                new PlatformDialect(),
                CallerPort.open(ip + ":" + CALLER_PORT));
    }
}
