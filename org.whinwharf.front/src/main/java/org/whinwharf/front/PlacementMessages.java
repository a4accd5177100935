package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.PromptPart;
import org.whinwharf.wire.fleet.PlacementAsk;
import org.whinwharf.wire.fleet.PlacementOutcome;
import org.whinwharf.wire.fleet.PlacementPart;
import org.whinwharf.wire.fleet.PlacementReply;

/** Turns asks and decisions into messages and back. */
final class PlacementMessages {
    private PlacementMessages() {}

    /** Makes the message that asks for a target; its times run from now. */
    static PlacementAsk placementRequest(
            long id,
            Demand demand,
            long patienceMillis,
            long onTimeMillis,
            Optional<String> organisation,
            long quotaTokens) {
        PlacementAsk.Builder ask = PlacementAsk.newBuilder()
                .setId(id)
                .setService(demand.service())
                .setModel(demand.model())
                .setPromptTokens((int) demand.promptTokens())
                .setAnswerTokens((int) demand.maxAnswerTokens())
                .setTierRank(demand.tierRank())
                .setRemainingMillis((int) Math.max(0, demand.remainingMillis()))
                .setPatienceMillis((int) Math.max(0, patienceMillis))
                .setOnTimeMillis((int) Math.max(0, onTimeMillis))
                .addAllTriedTargets(demand.triedTargets())
                .setDataCentre(demand.dataCentre());
        organisation.ifPresent(name -> ask.setOrganisation(name).setQuotaTokens(quotaTokens));
        demand.promptParts()
                .forEach(part ->
                        ask.addParts(PlacementPart.newBuilder().setId(part.id()).setTokens((int) part.tokens())));
        return ask.build();
    }

    static PlacementRequest placementRequest(String from, PlacementAsk ask, long nowMillis) {
        ImmutableDemand.Builder demand = ImmutableDemand.builder()
                .service(ask.getService())
                .model(ask.getModel())
                .promptTokens(ask.getPromptTokens())
                .maxAnswerTokens(ask.getAnswerTokens())
                .tierRank(ask.getTierRank())
                .remainingMillis(ask.getRemainingMillis())
                .dataCentre(ask.getDataCentre())
                .triedTargets(ask.getTriedTargetsList());
        ask.getPartsList().forEach(part -> demand.addPromptParts(new PromptPart(part.getId(), part.getTokens())));
        return ImmutablePlacementRequest.builder()
                .requester(from)
                .id(ask.getId())
                .demand(demand.build())
                .deadlineAtMillis(nowMillis + ask.getRemainingMillis())
                .queueTimeoutAtMillis(nowMillis + ask.getPatienceMillis())
                .onTimeUntilMillis(nowMillis + ask.getOnTimeMillis())
                .organisation(Optional.of(ask.getOrganisation()).filter(name -> !name.isEmpty()))
                .quotaTokens(ask.getQuotaTokens())
                .build();
    }

    static PlacementReply granted(PlacementRequest ask, Candidate candidate) {
        return PlacementReply.newBuilder()
                .setId(ask.id())
                .setOutcome(PlacementOutcome.PLACEMENT_GRANTED)
                .setTarget(candidate.state().target().id())
                .setUncachedTokens((int) candidate.uncachedTokens())
                .setTokensAhead((int) candidate.tokensAhead())
                .setOccupancy((float) candidate.occupancy())
                .setPredictedMillis((float) candidate.firstEventMillis())
                .setCold(candidate.coldAllowance() > 0)
                .build();
    }

    static PlacementReply waiting(PlacementRequest ask) {
        return PlacementReply.newBuilder()
                .setId(ask.id())
                .setOutcome(PlacementOutcome.PLACEMENT_WAITING)
                .build();
    }

    static PlacementReply refused(PlacementRequest ask, PlacementOutcome outcome, RejectionDetails grounds) {
        return PlacementReply.newBuilder()
                .setId(ask.id())
                .setOutcome(outcome)
                .setComeBackMillis((int) grounds.retryAfterMillis())
                .setAhead(grounds.queuedAhead())
                .setPredictedWaitMillis((int) grounds.estimatedWaitMillis())
                .setStandingMillis((int) grounds.backlogAgeMillis())
                .setQuotaLevelTokens(grounds.quotaLevelTokens())
                .build();
    }

    static RejectionDetails grounds(PlacementReply reply) {
        return new RejectionDetails(
                reply.getComeBackMillis(),
                reply.getAhead(),
                reply.getPredictedWaitMillis(),
                reply.getStandingMillis(),
                reply.getQuotaLevelTokens());
    }
}
