package org.whinwharf.front;

import org.whinwharf.errors.ErrorKind;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.target.Target;

/** Writes the log lines about requests and targets. */
final class FrontLog {
    private FrontLog() {}

    static void malformed(ErrorKind kind, String reason) {
        EventLog.event(LogEvent.REQUEST_MALFORMED)
                .with(EventField.KIND, kind.wireName())
                .with(EventField.REASON, reason)
                .call();
    }

    static void taskFailed(String name, Throwable cause) {
        EventLog.event(LogEvent.DUTY_FAILED)
                .with(EventField.NAME, name)
                .with(EventField.REASON, String.valueOf(cause))
                .call();
    }

    static void sent(CallerExchange exchange, Target target, long waitedMillis, Candidate candidate) {
        EventLog.event(LogEvent.REQUEST_SENT)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, target.id())
                .with(EventField.TIER_RANK, exchange.tierRank())
                .with(EventField.ANSWER_TOKENS, exchange.head().answerTokens())
                .with(EventField.WAITED_MILLIS, waitedMillis)
                .with(EventField.OCCUPANCY, Math.round(candidate.occupancy() * 100) / 100.0)
                .with(EventField.PREFILL_TOKENS, candidate.uncachedTokens())
                .with(EventField.PREDICTED_MILLIS, Math.round(candidate.firstEventMillis()))
                .with(EventField.VERSION, exchange.catalogFreshness().catalogVersion())
                .with(EventField.AGE_MILLIS, exchange.catalogFreshness().itemsAgeMillis())
                .call();
    }

    static void ended(CallerExchange exchange, TargetEntry entry, String reason, int status, long totalMillis) {
        endLine(exchange, entry, reason, status, totalMillis).call();
    }

    /** Tells that a caller left; the kind of the line is why its connection closed. */
    static void callerLeft(CallerExchange exchange, TargetEntry entry, String closeCause, long totalMillis) {
        endLine(exchange, entry, "caller-left", 0, totalMillis)
                .with(EventField.KIND, closeCause)
                .call();
    }

    private static EventLog endLine(
            CallerExchange exchange, TargetEntry entry, String reason, int status, long totalMillis) {
        EventLog line = EventLog.event(LogEvent.REQUEST_ENDED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.REASON, reason)
                .with(EventField.STATUS, status)
                .with(EventField.TOTAL_MILLIS, totalMillis);
        if (entry != null) {
            line.with(EventField.TARGET, entry.state().target().id());
        }
        exchange.firstByteMillis().ifPresent(millis -> line.with(EventField.FIRST_BYTE_MILLIS, millis));
        return line;
    }

    static void refused(CallerExchange exchange, ErrorResponse refusal) {
        EventLog line = EventLog.event(LogEvent.REQUEST_REFUSED)
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TIER_RANK, exchange.tierRank())
                .with(EventField.KIND, refusal.kind().wireName())
                .with(EventField.RAN, refusal.kind().ran().wireName())
                .with(EventField.WAITED_MILLIS, exchange.ageMillis())
                .with(EventField.COME_BACK_MILLIS, refusal.retryAfterMillis())
                .with(EventField.VERSION, exchange.catalogFreshness().catalogVersion())
                .with(EventField.AGE_MILLIS, exchange.catalogFreshness().itemsAgeMillis());
        if (exchange.head() != null) {
            line.with(EventField.REQUEST, exchange.head().attemptId());
        }
        exchange.organisation().map(Organisation::name).ifPresent(name -> line.with(EventField.ORGANISATION, name));
        if (refusal.kind() == ErrorKind.OVER_QUOTA) {
            line.with(EventField.QUOTA_TOKENS, exchange.quotaTokens());
        }
        refusal.grounds().ifPresent(grounds -> addGrounds(line, exchange, grounds));
        line.call();
    }

    /** Adds what the coordinator knew when it decided; its news of the line is its own and has no age. */
    private static void addGrounds(EventLog line, CallerExchange exchange, RejectionDetails grounds) {
        line.with(EventField.PEER, exchange.coordinatorName());
        if (grounds.quotaLevelTokens() != 0) {
            line.with(EventField.QUOTA_LEVEL, grounds.quotaLevelTokens());
            return;
        }
        line.with(EventField.AHEAD, grounds.queuedAhead())
                .with(EventField.PREDICTED_MILLIS, grounds.estimatedWaitMillis())
                .with(EventField.STANDING_MILLIS, grounds.backlogAgeMillis());
    }

    static void retried(CallerExchange exchange, Target target, String reason) {
        EventLog.event(LogEvent.REQUEST_REPEATED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, target.id())
                .with(EventField.REASON, reason)
                .call();
    }

    static void coordinatorSilent(PlacementTicket ticket, long silentMillis) {
        EventLog.event(LogEvent.COORDINATOR_SILENT)
                .with(EventField.PEER, ticket.coordinatorName())
                .with(EventField.SERVICE, ticket.service())
                .with(EventField.AGE_MILLIS, silentMillis)
                .call();
    }

    static void itemsRequestFailed(
            String peerIp, long heldRevision, ItemsRequestOutcome outcome, long receivedBytes, long tookMillis) {
        EventLog.event(LogEvent.ITEMS_QUESTION_FAILED)
                .with(EventField.PEER, peerIp)
                .with(EventField.REVISION, heldRevision)
                .with(EventField.REASON, outcome.tag())
                .with(EventField.RECEIVED_BYTES, receivedBytes)
                .with(EventField.TOTAL_MILLIS, tookMillis)
                .call();
    }

    static void published(Target target, String status) {
        EventLog.event(LogEvent.TARGET_PUBLISHED)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.DATA_CENTRE, target.dataCentre())
                .with(EventField.STATUS, status)
                .call();
    }

    static void ejected(Target target, String reason) {
        EventLog.event(LogEvent.TARGET_EJECTED)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.REASON, reason)
                .call();
    }

    static void returned(Target target, long coldMillis) {
        EventLog.event(LogEvent.TARGET_RETURNED)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.LIMIT, coldMillis)
                .call();
    }
}
