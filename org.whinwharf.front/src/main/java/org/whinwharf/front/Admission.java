package org.whinwharf.front;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.waiting.Patience;

/** Decides on arrival whether a request is let in, by routes, keys and quotas. */
final class Admission {
    /** Outcome of a decision. */
    sealed interface Result permits Admitted, Refused {}

    /**
     * A request that is let in.
     *
     * @param route its route, of the catalog in force when it arrived
     * @param organisation who sends it; empty on public routes
     * @param service service that takes it
     * @param tierRank its rank; 0 is served first
     * @param quotaTokens what was taken from the organisation's quota
     * @param deadlineAtMillis steady time by which it has its final answer
     * @param patienceUntilMillis steady time until which it may wait for a target
     */
    record Admitted(
            Route route,
            Optional<Organisation> organisation,
            String service,
            int tierRank,
            long quotaTokens,
            long deadlineAtMillis,
            long patienceUntilMillis)
            implements Result {}

    /**
     * A request that is turned away.
     *
     * @param refusal what its caller is told
     * @param organisation who sent it, if known
     */
    record Refused(Refusal refusal, Optional<Organisation> organisation) implements Result {}

    private final Front front;

    Admission(Front front) {
        this.front = front;
    }

    Result decide(RequestHead head, long nowMillis) {
        Optional<Catalog> catalog = front.catalog();
        if (catalog.isEmpty()) {
            return refused(ErrorKind.NOT_READY, Front.NOT_READY_COME_BACK_MILLIS, Optional.empty());
        }
        Optional<Route> found = catalog.get().route(head.authority(), head.path());
        if (found.isEmpty()) {
            return refused(ErrorKind.UNKNOWN_SERVICE, 0, Optional.empty());
        }
        Route route = found.get();
        Optional<Organisation> organisation = head.key().flatMap(catalog.get()::organisationOfKey);
        if (catalog.get().asksForKeys() && !route.publicAccess() && organisation.isEmpty()) {
            return refused(ErrorKind.UNKNOWN_CREDENTIAL, 0, organisation);
        }
        long tokens = tokens(head, organisation);
        if (organisation.isPresent()) {
            String name = organisation.get().name();
            if (!front.quotas().tryAdmit(name, tokens, nowMillis)) {
                long comeBackMillis = Math.max(front.quotas().comeBackMillis(name), Front.NOT_READY_COME_BACK_MILLIS);
                return refused(ErrorKind.OVER_QUOTA, comeBackMillis, organisation);
            }
        }
        return admitted(head, route, organisation, tokens, nowMillis);
    }

    private Admitted admitted(
            RequestHead head, Route route, Optional<Organisation> organisation, long tokens, long nowMillis) {
        long allowedMillis =
                Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(route.timeoutMillis()));
        int tierRank = organisation.isPresent() && organisation.get().tierRank().isPresent()
                ? organisation.get().tierRank().getAsInt()
                : route.tierRank();
        return new Admitted(
                route,
                organisation,
                front.pickService(route, head.attemptId()),
                tierRank,
                tokens,
                nowMillis + allowedMillis,
                nowMillis + Patience.waitMillis(route.objectiveMillis(), allowedMillis));
    }

    private static long tokens(RequestHead head, Optional<Organisation> organisation) {
        if (head.countsTokens()) {
            return head.promptTokens() + head.answerTokens();
        }
        return organisation.map(Organisation::plainRequestTokens).orElse(0L);
    }

    private static Refused refused(ErrorKind kind, long comeBackMillis, Optional<Organisation> organisation) {
        return new Refused(new Refusal(kind, comeBackMillis), organisation);
    }
}
