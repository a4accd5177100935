package org.whinwharf.front;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalInt;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.TierRank;
import org.whinwharf.traffic.waiting.QueueTimeouts;

/** Admits or rejects a request on arrival, by routes, API keys and quotas. */
final class AdmissionControl {
    /** Outcome of the admission check. */
    sealed interface Decision permits Admitted, Rejected {}

    /**
     * An admitted request.
     *
     * @param route route of the request, from the catalog in force on arrival
     * @param organisation organisation of the caller; empty on public routes
     * @param tierRank tier rank; 0 is served first
     * @param quotaTokens tokens that the request consumes of the organisation's quota
     * @param deadlineAtMillis time of the monotonic clock by which the caller gets its final response
     * @param queueTimeoutAtMillis time of the monotonic clock until which the request may wait for a target
     */
    record Admitted(
            Route route,
            Optional<Organisation> organisation,
            int tierRank,
            long quotaTokens,
            long deadlineAtMillis,
            long queueTimeoutAtMillis)
            implements Decision {}

    /**
     * A rejected request.
     *
     * @param error response to the caller
     * @param organisation organisation of the caller, if known
     */
    record Rejected(ErrorResponse error, Optional<Organisation> organisation) implements Decision {}

    private final Front front;

    AdmissionControl(Front front) {
        this.front = front;
    }

    /** Admits or rejects a request by its route and key; {@link #consumeQuota} decides on its quota. */
    Decision decide(RequestHead head, long nowMillis) {
        Optional<Catalog> catalog = front.catalog();
        if (catalog.isEmpty()) {
            return rejected(ErrorKind.NOT_READY, Front.NOT_READY_RETRY_AFTER_MILLIS, Optional.empty());
        }
        Optional<Route> matchedRoute = catalog.get().route(head.authority(), head.path());
        if (matchedRoute.isEmpty()) {
            return rejected(ErrorKind.UNKNOWN_SERVICE, 0, Optional.empty());
        }
        Route route = matchedRoute.get();
        Optional<Organisation> organisation = head.apiKey().flatMap(catalog.get()::organisationOfKey);
        if (catalog.get().requiresKeys() && !route.publicAccess() && organisation.isEmpty()) {
            return rejected(ErrorKind.UNKNOWN_CREDENTIAL, 0, organisation);
        }
        return admitted(head, route, organisation, nowMillis);
    }

    /**
     * Returns the head of an incomplete request that could outlast a planned stop even if its last byte came now; empty
     * for any other request, also for a malformed one, which is rejected once it is complete.
     */
    Optional<RequestHead> headIfLate(HttpRequest request, long nowMillis) {
        try {
            RequestHead head = front.dialect().readRequest(request);
            boolean late = decide(head, nowMillis) instanceof Admitted admitted
                    && !front.plannedStop().leavesTimeUntil(admitted.deadlineAtMillis());
            return late ? Optional.of(head) : Optional.empty();
        } catch (BadRequestException e) {
            return Optional.empty();
        }
    }

    /**
     * Consumes a request's tokens of its organisation's quota; returns the error response when the quota is used up.
     */
    Optional<ErrorResponse> consumeQuota(
            Optional<Organisation> organisation, String service, long tokens, long nowMillis) {
        if (organisation.isEmpty() || tryConsumeQuota(organisation.get().name(), service, tokens, nowMillis)) {
            return Optional.empty();
        }
        long retryAfterMillis =
                front.quotas().retryAfterMillis(organisation.get().name());
        return Optional.of(new ErrorResponse(
                ErrorKind.OVER_QUOTA, Math.max(retryAfterMillis, Front.NOT_READY_RETRY_AFTER_MILLIS)));
    }

    private boolean tryConsumeQuota(String organisation, String service, long tokens, long nowMillis) {
        return front.coordination().isLocalCoordinator(service)
                ? front.quotas().tryAdmit(organisation, tokens, nowMillis)
                : front.quotas().tryAdmitUncoordinated(organisation, tokens, nowMillis);
    }

    private Admitted admitted(RequestHead head, Route route, Optional<Organisation> organisation, long nowMillis) {
        long timeoutMillis =
                Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(route.timeoutMillis()));
        OptionalInt organisationRank = organisation.map(Organisation::tierRank).orElse(OptionalInt.empty());
        int tierRank = TierRank.combine(organisationRank, route.tierRank());
        return new Admitted(
                route,
                organisation,
                tierRank,
                quotaTokens(head, organisation),
                nowMillis + timeoutMillis,
                nowMillis + QueueTimeouts.queueTimeoutMillis(route.latencyObjectiveMillis(), timeoutMillis));
    }

    private static long quotaTokens(RequestHead head, Optional<Organisation> organisation) {
        if (head.hasTokenCounts()) {
            return head.promptTokens() + head.maxAnswerTokens();
        }
        return organisation.map(Organisation::defaultRequestTokens).orElse(0L);
    }

    private static Rejected rejected(ErrorKind kind, long retryAfterMillis, Optional<Organisation> organisation) {
        return new Rejected(new ErrorResponse(kind, retryAfterMillis), organisation);
    }
}
