package org.whinwharf.front;

import java.util.Optional;
import java.util.OptionalInt;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.TierRank;
import org.whinwharf.traffic.waiting.QueueTimeouts;

/** Decides on arrival whether a request is let in, by routes, keys and quotas. */
final class AdmissionControl {
    /** Outcome of a decision. */
    sealed interface Decision permits Admitted, Rejected {}

    /**
     * A request that is let in.
     *
     * @param route its route, of the catalog in force when it arrived
     * @param organisation who sends it; empty on public routes
     * @param service service that takes it
     * @param tierRank its rank; 0 is served first
     * @param quotaTokens what it uses of the organisation's quota
     * @param quotaConsumed true when that was taken; otherwise the coordinator takes it
     * @param deadlineAtMillis steady time by which it has its final answer
     * @param queueTimeoutAtMillis steady time until which it may wait for a target
     */
    record Admitted(
            Route route,
            Optional<Organisation> organisation,
            String service,
            int tierRank,
            long quotaTokens,
            boolean quotaConsumed,
            long deadlineAtMillis,
            long queueTimeoutAtMillis)
            implements Decision {}

    /**
     * A request that is turned away.
     *
     * @param error what its caller is told
     * @param organisation who sent it, if known
     */
    record Rejected(ErrorResponse error, Optional<Organisation> organisation) implements Decision {}

    private final Front front;

    AdmissionControl(Front front) {
        this.front = front;
    }

    Decision decide(RequestHead head, long nowMillis) {
        Optional<Catalog> catalog = front.catalog();
        if (catalog.isEmpty()) {
            return rejected(ErrorKind.NOT_READY, Front.NOT_READY_RETRY_AFTER_MILLIS, Optional.empty());
        }
        Optional<Route> found = catalog.get().route(head.authority(), head.path());
        if (found.isEmpty()) {
            return rejected(ErrorKind.UNKNOWN_SERVICE, 0, Optional.empty());
        }
        Route route = found.get();
        Optional<Organisation> organisation = head.apiKey().flatMap(catalog.get()::organisationOfKey);
        if (catalog.get().requiresKeys() && !route.publicAccess() && organisation.isEmpty()) {
            return rejected(ErrorKind.UNKNOWN_CREDENTIAL, 0, organisation);
        }
        long tokens = quotaTokens(head, organisation);
        String service = route.selectService(head.attemptId());
        boolean elsewhere = organisation.isPresent() && front.coordination().hasRemoteCoordinator(service);
        Optional<ErrorResponse> refusal =
                elsewhere ? Optional.empty() : consumeQuota(organisation, service, tokens, nowMillis);
        if (refusal.isPresent()) {
            return new Rejected(refusal.get(), organisation);
        }
        return admitted(head, route, organisation, service, tokens, !elsewhere, nowMillis);
    }

    /** Takes a request's use from its organisation's quota, or returns why that cannot be. */
    Optional<ErrorResponse> consumeQuota(
            Optional<Organisation> organisation, String service, long tokens, long nowMillis) {
        if (organisation.isEmpty() || tryConsumeQuota(organisation.get().name(), service, tokens, nowMillis)) {
            return Optional.empty();
        }
        long comeBackMillis = front.quotas().retryAfterMillis(organisation.get().name());
        return Optional.of(
                new ErrorResponse(ErrorKind.OVER_QUOTA, Math.max(comeBackMillis, Front.NOT_READY_RETRY_AFTER_MILLIS)));
    }

    private boolean tryConsumeQuota(String organisation, String service, long tokens, long nowMillis) {
        return front.coordination().isLocalCoordinator(service)
                ? front.quotas().tryAdmit(organisation, tokens, nowMillis)
                : front.quotas().tryAdmitUncoordinated(organisation, tokens, nowMillis);
    }

    private Admitted admitted(
            RequestHead head,
            Route route,
            Optional<Organisation> organisation,
            String service,
            long tokens,
            boolean quotaTaken,
            long nowMillis) {
        long allowedMillis =
                Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(route.timeoutMillis()));
        OptionalInt organisationRank = organisation.map(Organisation::tierRank).orElse(OptionalInt.empty());
        int tierRank = TierRank.combine(organisationRank, route.tierRank());
        return new Admitted(
                route,
                organisation,
                service,
                tierRank,
                tokens,
                quotaTaken,
                nowMillis + allowedMillis,
                nowMillis + QueueTimeouts.queueTimeoutMillis(route.latencyObjectiveMillis(), allowedMillis));
    }

    private static long quotaTokens(RequestHead head, Optional<Organisation> organisation) {
        if (head.hasTokenCounts()) {
            return head.promptTokens() + head.answerTokens();
        }
        return organisation.map(Organisation::defaultRequestTokens).orElse(0L);
    }

    private static Rejected rejected(ErrorKind kind, long comeBackMillis, Optional<Organisation> organisation) {
        return new Rejected(new ErrorResponse(kind, comeBackMillis), organisation);
    }
}
