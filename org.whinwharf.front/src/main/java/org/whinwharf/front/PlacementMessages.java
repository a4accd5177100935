package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.traffic.coordination.Ask;
import org.whinwharf.traffic.coordination.ImmutableAsk;
import org.whinwharf.traffic.coordination.RefusalGrounds;
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
    static PlacementAsk ask(
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
                .setAnswerTokens((int) demand.answerTokens())
                .setTierRank(demand.tierRank())
                .setRemainingMillis((int) Math.max(0, demand.remainingMillis()))
                .setPatienceMillis((int) Math.max(0, patienceMillis))
                .setOnTimeMillis((int) Math.max(0, onTimeMillis))
                .addAllTriedTargets(demand.tried())
                .setDataCentre(demand.dataCentre());
        organisation.ifPresent(name -> ask.setOrganisation(name).setQuotaTokens(quotaTokens));
        demand.parts()
                .forEach(part ->
                        ask.addParts(PlacementPart.newBuilder().setId(part.id()).setTokens((int) part.tokens())));
        return ask.build();
    }

    static Ask ask(String from, PlacementAsk ask, long nowMillis) {
        ImmutableDemand.Builder demand = ImmutableDemand.builder()
                .service(ask.getService())
                .model(ask.getModel())
                .promptTokens(ask.getPromptTokens())
                .answerTokens(ask.getAnswerTokens())
                .tierRank(ask.getTierRank())
                .remainingMillis(ask.getRemainingMillis())
                .dataCentre(ask.getDataCentre())
                .tried(ask.getTriedTargetsList());
        ask.getPartsList().forEach(part -> demand.addParts(new PromptPart(part.getId(), part.getTokens())));
        return ImmutableAsk.builder()
                .requester(from)
                .id(ask.getId())
                .demand(demand.build())
                .deadlineAtMillis(nowMillis + ask.getRemainingMillis())
                .patienceUntilMillis(nowMillis + ask.getPatienceMillis())
                .onTimeUntilMillis(nowMillis + ask.getOnTimeMillis())
                .organisation(Optional.of(ask.getOrganisation()).filter(name -> !name.isEmpty()))
                .quotaTokens(ask.getQuotaTokens())
                .build();
    }

    static PlacementReply granted(Ask ask, Candidate candidate) {
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

    static PlacementReply waiting(Ask ask) {
        return PlacementReply.newBuilder()
                .setId(ask.id())
                .setOutcome(PlacementOutcome.PLACEMENT_WAITING)
                .build();
    }

    static PlacementReply refused(Ask ask, PlacementOutcome outcome, RefusalGrounds grounds) {
        return PlacementReply.newBuilder()
                .setId(ask.id())
                .setOutcome(outcome)
                .setComeBackMillis((int) grounds.comeBackMillis())
                .setAhead(grounds.ahead())
                .setPredictedWaitMillis((int) grounds.predictedMillis())
                .setStandingMillis((int) grounds.standingMillis())
                .setQuotaLevelTokens(grounds.quotaLevelTokens())
                .build();
    }

    static RefusalGrounds grounds(PlacementReply reply) {
        return new RefusalGrounds(
                reply.getComeBackMillis(),
                reply.getAhead(),
                reply.getPredictedWaitMillis(),
                reply.getStandingMillis(),
                reply.getQuotaLevelTokens());
    }
}
