package org.whinwharf.front;

/** Creates settings for fronts of which only the item feed is tested. */
final class FeedFixture {
    private FeedFixture() {}

    static FrontSettings settings(String name, String ip, String dataCentre) {
        return ImmutableFrontSettings.builder()
                .name(name)
                .ip(ip)
                .dataCentre(dataCentre)
                .callerAddress(ip + ":1")
                .peerPort(2)
                .freshFleet(false)
                .retryRatio(0)
                .retryAllowance(0)
                .retryWindowMillis(1)
                .stopGraceMillis(1)
                .metricsPort(0)
                .build();
    }
}
