package org.whinwharf.front;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.PromptPart;
import org.whinwharf.wire.fleet.LostRunReport;
import org.whinwharf.wire.fleet.PlacementAsk;
import org.whinwharf.wire.fleet.PlacementOutcome;
import org.whinwharf.wire.fleet.PlacementPart;
import org.whinwharf.wire.fleet.PlacementReply;
import org.whinwharf.wire.fleet.RunUnderWay;

/** Converts placement requests and decisions to and from the messages between fronts. */
final class PlacementMessages {
    private PlacementMessages() {}

    /** Returns the message that requests a target; its times are relative to now. */
    static PlacementAsk placementRequest(
            long id,
            Demand demand,
            long queueTimeoutMillis,
            long onTimeMillis,
            Optional<String> organisation,
            long quotaTokens) {
        PlacementAsk.Builder request = PlacementAsk.newBuilder()
                .setId(id)
                .setService(demand.service())
                .setModel(demand.model())
                .setPromptTokens((int) demand.promptTokens())
                .setAnswerTokens((int) demand.maxAnswerTokens())
                .setExpectedAnswerTokens((int) demand.estimatedAnswerTokens().orElse(0))
                .setTierRank(demand.tierRank())
                .setRemainingMillis((int) Math.max(0, demand.remainingMillis()))
                .setPatienceMillis((int) Math.max(0, queueTimeoutMillis))
                .setOnTimeMillis((int) Math.max(0, onTimeMillis))
                .addAllTriedTargets(demand.triedTargets())
                .setDataCentre(demand.dataCentre());
        demand.requiredVersion().ifPresent(request::setRequiredVersion);
        organisation.ifPresent(name -> request.setOrganisation(name).setQuotaTokens(quotaTokens));
        PromptCacheIndex.indexedParts(demand.promptParts())
                .forEach(part -> request.addParts(
                        PlacementPart.newBuilder().setId(part.id()).setTokens((int) part.tokens())));
        return request.build();
    }

    /** Adds what is held against a request, and what is known of it. */
    static PlacementAsk addSuspect(PlacementAsk request, Fingerprint suspect, List<LostRunReport> runs) {
        return request.toBuilder()
                .setSuspectFingerprint(suspect.bits())
                .addAllLostRuns(runs)
                .build();
    }

    /** Adds the organisation of a request whose quota was already charged. */
    static PlacementAsk addChargedOrganisation(PlacementAsk request, String organisation) {
        return request.toBuilder().setChargedOrganisation(organisation).build();
    }

    private static Optional<String> nonEmpty(String name) {
        return Optional.of(name).filter(known -> !known.isEmpty());
    }

    private static Optional<Fingerprint> suspect(long bits) {
        return Optional.of(new Fingerprint(bits)).filter(fingerprint -> !fingerprint.equals(Fingerprint.NONE));
    }

    static RunningRequests.Run run(RunUnderWay run) {
        return new RunningRequests.Run(
                run.getTarget(),
                run.getPrefillTokens(),
                suspect(run.getSuspectFingerprint()),
                run.getOrganisationDigest(),
                run.getTierRank());
    }

    static PlacementRequest placementRequest(String from, PlacementAsk request, long nowMillis) {
        ImmutableDemand.Builder demand = ImmutableDemand.builder()
                .service(request.getService())
                .model(request.getModel())
                .promptTokens(request.getPromptTokens())
                .maxAnswerTokens(request.getAnswerTokens())
                .estimatedAnswerTokens(estimatedAnswerTokens(request))
                .tierRank(request.getTierRank())
                .remainingMillis(request.getRemainingMillis())
                .dataCentre(request.getDataCentre())
                .requiredVersion(nonEmpty(request.getRequiredVersion()))
                .triedTargets(request.getTriedTargetsList());
        request.getPartsList().forEach(part -> demand.addPromptParts(new PromptPart(part.getId(), part.getTokens())));
        return ImmutablePlacementRequest.builder()
                .requester(from)
                .id(request.getId())
                .demand(demand.build())
                .deadlineAtMillis(nowMillis + request.getRemainingMillis())
                .queueTimeoutAtMillis(nowMillis + request.getPatienceMillis())
                .onTimeUntilMillis(nowMillis + request.getOnTimeMillis())
                .organisation(nonEmpty(request.getOrganisation()))
                .chargedOrganisation(nonEmpty(request.getChargedOrganisation()))
                .quotaTokens(request.getQuotaTokens())
                .suspect(suspect(request.getSuspectFingerprint()))
                .build();
    }

    private static OptionalLong estimatedAnswerTokens(PlacementAsk request) {
        return request.getExpectedAnswerTokens() > 0
                ? OptionalLong.of(request.getExpectedAnswerTokens())
                : OptionalLong.empty();
    }

    static PlacementReply granted(PlacementRequest request, Candidate candidate) {
        return PlacementReply.newBuilder()
                .setId(request.id())
                .setOutcome(PlacementOutcome.PLACEMENT_GRANTED)
                .setTarget(candidate.state().target().id())
                .setUncachedTokens((int) candidate.uncachedTokens())
                .setTokensAhead((int) candidate.tokensAhead())
                .setOccupancy((float) candidate.occupancy())
                .setPredictedMillis((float) candidate.firstEventMillis())
                .setCold(candidate.coldAllowance() > 0)
                .setRateCounted(candidate.rateCounted())
                .build();
    }

    static PlacementReply queued(PlacementRequest request) {
        return PlacementReply.newBuilder()
                .setId(request.id())
                .setOutcome(PlacementOutcome.PLACEMENT_WAITING)
                .build();
    }

    static PlacementReply quarantined(PlacementRequest request, long retryAfterMillis) {
        return PlacementReply.newBuilder()
                .setId(request.id())
                .setOutcome(PlacementOutcome.PLACEMENT_QUARANTINED)
                .setComeBackMillis((int) retryAfterMillis)
                .build();
    }

    static PlacementReply rejected(PlacementRequest request, PlacementOutcome outcome, RejectionDetails details) {
        return PlacementReply.newBuilder()
                .setId(request.id())
                .setOutcome(outcome)
                .setComeBackMillis((int) details.retryAfterMillis())
                .setAhead(details.queuedAhead())
                .setPredictedWaitMillis((int) details.estimatedWaitMillis())
                .setStandingMillis((int) details.backlogAgeMillis())
                .setQuotaLevelTokens(details.quotaLevelTokens())
                .build();
    }

    static RejectionDetails rejectionDetails(PlacementReply reply) {
        return new RejectionDetails(
                reply.getComeBackMillis(),
                reply.getAhead(),
                reply.getPredictedWaitMillis(),
                reply.getStandingMillis(),
                reply.getQuotaLevelTokens());
    }
}
