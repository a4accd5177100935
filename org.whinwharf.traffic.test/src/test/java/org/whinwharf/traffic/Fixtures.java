package org.whinwharf.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.ImmutableOrganisation;
import org.whinwharf.traffic.catalog.ImmutableRoute;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.RouteKind;
import org.whinwharf.traffic.catalog.ServiceWeight;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.ImmutableTarget;
import org.whinwharf.traffic.target.PromptPart;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/** Test data shared by the tests of this module. */
public final class Fixtures {
    private Fixtures() {}

    public static Target target(String id, int slots) {
        return ImmutableTarget.builder()
                .id(id)
                .service("summaries")
                .ip("10.0.0.1")
                .port(8_000)
                .version("v1")
                .dataCentre("zilina-a")
                .slots(slots)
                .draining(false)
                .coldRemainingMillis(0)
                .startedUnixMillis(1)
                .build();
    }

    public static Demand demand(int tierRank, long promptTokens, String subject) {
        return ImmutableDemand.builder()
                .service("summaries")
                .dataCentre("zilina-a")
                .promptTokens(promptTokens)
                .addPromptParts(new PromptPart("shared", 60), new PromptPart(subject, promptTokens - 60))
                .tierRank(tierRank)
                .build();
    }

    public static Route route(String hostName, String pathPrefix) {
        return ImmutableRoute.builder()
                .name(hostName + pathPrefix)
                .hostName(hostName)
                .pathPrefix(pathPrefix)
                .kind(RouteKind.SAFE)
                .addServices(new ServiceWeight("summaries", 1))
                .timeoutMillis(1_000)
                .latencyObjectiveMillis(100)
                .tierRank(0)
                .maxAttempts(1)
                .publicAccess(false)
                .resumable(false)
                .gapObjectiveMillis(0)
                .build();
    }

    public static Catalog catalog(long version, double quotaTokensPerSecond, double burst) {
        return new Catalog(
                version,
                CallerLimits.DEFAULT,
                List.of(route("api.example", "/a/"), route("api.example", "/a/b/")),
                List.of(),
                List.of(ImmutableOrganisation.builder()
                        .name("obec")
                        .addKeys("secret")
                        .quotaTokensPerSecond(quotaTokensPerSecond)
                        .quotaBurstTokens(burst)
                        .defaultRequestTokens(200)
                        .build()));
    }

    public static Catalog catalogWithQuotas(Map<String, Double> tokensPerSecond) {
        List<Organisation> organisations = new ArrayList<>();
        tokensPerSecond.forEach((name, rate) -> organisations.add(ImmutableOrganisation.builder()
                .name(name)
                .quotaTokensPerSecond(rate)
                .quotaBurstTokens(rate)
                .defaultRequestTokens(1)
                .build()));
        return new Catalog(1, CallerLimits.DEFAULT, List.of(), List.of(), organisations);
    }

    public static MemberReport report(String name, long incarnation, long sequence) {
        return MemberReport.newBuilder()
                .setName(name)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setPhase(MemberPhase.MEMBER_SERVING)
                .setCallerAddress(name + ":1")
                .build();
    }
}
