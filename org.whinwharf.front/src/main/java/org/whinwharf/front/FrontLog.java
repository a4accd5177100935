package org.whinwharf.front;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.retry.RetryBudget;
import org.whinwharf.traffic.share.ShareUse;
import org.whinwharf.traffic.stream.StreamOrigin;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.RelayOutcome;

/** Writes log events about requests, targets, coordinators and peers. */
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

    static void workChanged(String service, int tierRank, double previousMillis, double holdMillis) {
        EventLog.event(LogEvent.WORK_CHANGED)
                .with(EventField.SERVICE, service)
                .with(EventField.TIER_RANK, tierRank)
                .with(EventField.FROM, Math.round(previousMillis))
                .with(EventField.TO, Math.round(holdMillis))
                .call();
    }

    /** Logs that a request was refused because its organisation has used its share. */
    static void organisationLimited(String service, String organisation, ShareUse use) {
        EventLog.event(LogEvent.ORGANISATION_LIMITED)
                .with(EventField.SERVICE, service)
                .with(EventField.TIER_RANK, use.tierRank())
                .with(EventField.ORGANISATION, organisation)
                .with(EventField.USE_SLOTS, Math.round(use.useSlots() * 10) / 10.0)
                .with(EventField.SHARE_SLOTS, Math.round(use.shareSlots() * 10) / 10.0)
                .with(EventField.AHEAD_OF_CLOCK_MILLIS, Math.round(use.aheadVirtualMillis()))
                .with(EventField.QUEUED, use.queued())
                .call();
    }

    /** Logs that the number of requests that a target takes at once was learned, or has changed. */
    static void targetLimitChanged(
            String service, String target, int previous, int limit, double paceMillis, double occupancy, int samples) {
        EventLog.event(LogEvent.TARGET_LIMIT_CHANGED)
                .with(EventField.SERVICE, service)
                .with(EventField.TARGET, target)
                .with(EventField.FROM, previous)
                .with(EventField.TO, limit)
                .with(EventField.PACE_MILLIS, Math.round(paceMillis))
                .with(EventField.OCCUPANCY, Math.round(occupancy * 100) / 100.0)
                .with(EventField.SAMPLES, samples)
                .call();
    }

    /**
     * Logs that a request was sent to a target, through a peer if its name is not empty.
     *
     * @param lastEventId id of the event after which a stream goes on; empty for a new stream
     */
    static void sent(CallerExchange exchange, TargetRun run, long waitedMillis, Optional<String> lastEventId) {
        Candidate candidate = run.candidate();
        EventLog event = EventLog.event(LogEvent.REQUEST_SENT)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, run.entry().state().target().id())
                .with(EventField.TIER_RANK, exchange.tierRank())
                .with(EventField.ANSWER_TOKENS, exchange.expectedAnswerTokens())
                .with(EventField.WAITED_MILLIS, waitedMillis)
                .with(EventField.OCCUPANCY, Math.round(candidate.occupancy() * 100) / 100.0)
                .with(EventField.PREFILL_TOKENS, candidate.uncachedTokens())
                .with(EventField.PREDICTED_MILLIS, Math.round(candidate.firstEventMillis()))
                .with(EventField.VERSION, exchange.catalogFreshness().catalogVersion())
                .with(EventField.AGE_MILLIS, exchange.catalogFreshness().itemsAgeMillis())
                .with(EventField.TARGET_VERSION, run.target().version());
        lastEventId.ifPresent(id -> event.with(EventField.LAST_EVENT, id));
        exchange.statedRate(run).ifPresent(rate -> event.with(EventField.STATED_RATE, rate));
        exchange.head().resumedAttemptId().ifPresent(id -> event.with(EventField.RESUMES, id));
        if (run.relayed()) {
            event.with(EventField.PEER, run.peerName());
        }
        exchange.stoppingMillis().ifPresent(millis -> event.with(EventField.STOPPING_MILLIS, millis));
        if (exchange.route().resumable()) {
            event.with(EventField.PROCESS, tag(run.processKnowledge()))
                    .with(EventField.CONNECTED_MILLIS, run.connectedMillis());
        }
        event.call();
    }

    /**
     * Logs that a stream which has begun was sent to a target that is to go on with it.
     *
     * @param previousTargetId target of the attempt's run before; empty if there was none
     * @param source who knew the version of a stream that the caller resumes; empty within a response
     */
    static void streamContinued(
            CallerExchange exchange,
            TargetRun run,
            Optional<String> previousTargetId,
            Optional<OriginSource> source,
            Optional<String> lastEventId) {
        EventLog event = EventLog.event(LogEvent.STREAM_CONTINUED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, run.target().service())
                .with(EventField.TARGET, run.target().id())
                .with(EventField.TARGET_VERSION, run.target().version())
                .with(EventField.PROCESS, tag(run.processKnowledge()))
                .with(EventField.CONNECTED_MILLIS, run.connectedMillis());
        addStreamVersion(event, exchange);
        exchange.head().resumedAttemptId().ifPresent(id -> event.with(EventField.RESUMES, id));
        previousTargetId.ifPresent(id -> event.with(EventField.FROM, id));
        source.ifPresent(known -> event.with(EventField.SOURCE, known.tag()));
        lastEventId.ifPresent(id -> event.with(EventField.LAST_EVENT, id));
        if (run.relayed()) {
            event.with(EventField.PEER, run.peerName());
        }
        event.call();
    }

    private static String tag(ProcessKnowledge knowledge) {
        return knowledge.name().toLowerCase(Locale.ROOT);
    }

    /** Logs that a stream has begun at a process that is not known to be the published one. */
    static void originOpen(CallerExchange exchange, TargetRun run, ProcessKnowledge knowledge) {
        EventLog.event(LogEvent.STREAM_ORIGIN_OPEN)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, run.target().id())
                .with(EventField.SERVICE, run.target().service())
                .with(EventField.TARGET_VERSION, run.target().version())
                .with(EventField.PROCESS, tag(knowledge))
                .with(EventField.CONNECTED_MILLIS, run.connectedMillis())
                .call();
    }

    /** Logs that a stream is not continued at a target, which may be another process than the published one. */
    static void streamTargetSkipped(CallerExchange exchange, Target target, ProcessKnowledge knowledge, long millis) {
        EventLog event = EventLog.event(LogEvent.STREAM_TARGET_SKIPPED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service());
        exchange.streamVersion().ifPresent(version -> event.with(EventField.STREAM_VERSION, version));
        event.with(EventField.PROCESS, tag(knowledge))
                .with(EventField.CONNECTED_MILLIS, millis)
                .call();
    }

    /** Logs what the report of a target shows of the process that serves its address. */
    static void processReported(TargetEntry entry, ProcessReport report, long tookMillis) {
        EventLog.event(LogEvent.PROCESS_REPORTED)
                .with(EventField.TARGET, entry.state().target().id())
                .with(EventField.SERVICE, entry.state().target().service())
                .with(EventField.REASON, report.tag())
                .with(EventField.AGE_MILLIS, tookMillis)
                .call();
    }

    /**
     * Logs a request that is cut off by the end of a planned stop.
     *
     * @param stoppingMillis time in milliseconds since the stop began
     */
    static void cutOff(CallerExchange exchange, long stoppingMillis) {
        EventLog event = EventLog.event(LogEvent.REQUEST_CUT_BY_STOP)
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.STAGE, exchange.stageTag())
                .with(EventField.STATUS, exchange.responseStatus())
                .with(EventField.TOTAL_MILLIS, exchange.ageMillis())
                .with(EventField.STOPPING_MILLIS, stoppingMillis)
                .with(EventField.RUNS, exchange.sentCount())
                .with(EventField.UNREAD_BYTES, exchange.unreadBytes());
        if (exchange.head() != null) {
            event.with(EventField.REQUEST, exchange.head().attemptId());
        }
        if (exchange.entry() != null) {
            event.with(EventField.TARGET, exchange.entry().state().target().id());
        }
        exchange.runMillis().ifPresent(millis -> event.with(EventField.RUN_MILLIS, millis));
        event.call();
    }

    static void ended(CallerExchange exchange, TargetEntry entry, String reason, int status, long totalMillis) {
        endLine(exchange, entry, reason, status, totalMillis).call();
    }

    /** Logs that a caller disconnected; the event's kind is the cause of the close. */
    static void callerLeft(CallerExchange exchange, TargetEntry entry, String closeCause, long totalMillis) {
        endLine(exchange, entry, "caller-left", 0, totalMillis)
                .with(EventField.KIND, closeCause)
                .call();
    }

    private static EventLog endLine(
            CallerExchange exchange, TargetEntry entry, String reason, int status, long totalMillis) {
        EventLog event = EventLog.event(LogEvent.REQUEST_ENDED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.REASON, reason)
                .with(EventField.STATUS, status)
                .with(EventField.TOTAL_MILLIS, totalMillis);
        if (entry != null) {
            event.with(EventField.TARGET, entry.state().target().id());
        }
        exchange.firstByteMillis().ifPresent(millis -> event.with(EventField.FIRST_BYTE_MILLIS, millis));
        addStreamVersion(event, exchange);
        addResponseEnding(event, exchange);
        return event;
    }

    private static void addStreamVersion(EventLog event, CallerExchange exchange) {
        exchange.streamVersion().ifPresent(version -> event.with(EventField.STREAM_VERSION, version));
    }

    private static void addResponseEnding(EventLog event, CallerExchange exchange) {
        exchange.responseEnding()
                .ifPresent(ending -> event.with(
                                EventField.FRAMING, ending.framing().tag())
                        .with(EventField.ENDING, ending.cause())
                        .with(EventField.INSIDE_EVENT, ending.insideEvent()));
    }

    static void refused(CallerExchange exchange, ErrorResponse response, TargetRegistry.Reach reach) {
        EventLog event = EventLog.event(LogEvent.REQUEST_REFUSED)
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TIER_RANK, exchange.tierRank())
                .with(EventField.KIND, response.kind().wireName())
                .with(EventField.RAN, response.kind().ran().wireName())
                .with(EventField.WAITED_MILLIS, exchange.ageMillis())
                .with(EventField.RETRY_AFTER_MILLIS, response.retryAfterMillis())
                .with(EventField.VERSION, exchange.catalogFreshness().catalogVersion())
                .with(EventField.AGE_MILLIS, exchange.catalogFreshness().itemsAgeMillis());
        if (exchange.head() != null) {
            event.with(EventField.REQUEST, exchange.head().attemptId());
        }
        exchange.stoppingMillis().ifPresent(millis -> event.with(EventField.STOPPING_MILLIS, millis));
        if (response.kind() == ErrorKind.QUARANTINED || response.kind() == ErrorKind.TARGET_CRASHED) {
            event.with(EventField.FINGERPRINT, exchange.fingerprint().toString())
                    .with(EventField.SHARED_PARTS, joined(exchange.sharedParts()));
        }
        exchange.organisation().map(Organisation::name).ifPresent(name -> event.with(EventField.ORGANISATION, name));
        addResponseEnding(event, exchange);
        if (!exchange.service().isEmpty()) {
            addReach(event, reach);
        }
        if (response.kind() == ErrorKind.OVER_QUOTA) {
            event.with(EventField.QUOTA_TOKENS, exchange.quotaTokens());
        }
        response.rejectionDetails().ifPresent(details -> addRejectionDetails(event, exchange, details));
        event.call();
    }

    /** Adds the coordinator's reasons for its decision; they concern its own queue, so no age is logged with them. */
    private static void addRejectionDetails(EventLog event, CallerExchange exchange, RejectionDetails details) {
        event.with(EventField.PEER, exchange.coordinatorName());
        if (details.quotaLevelTokens() != 0) {
            event.with(EventField.QUOTA_LEVEL, details.quotaLevelTokens());
            return;
        }
        event.with(EventField.QUEUED_AHEAD, details.queuedAhead())
                .with(EventField.PREDICTED_MILLIS, details.estimatedWaitMillis())
                .with(EventField.BACKLOG_AGE_MILLIS, details.backlogAgeMillis());
    }

    /**
     * Logs that a request is retried, with the state of the retry budget.
     *
     * @param peers number of other processes among which the fixed allowance is divided
     */
    static void retried(
            CallerExchange exchange, Target target, String reason, RetryBudget budget, double allowance, int peers) {
        EventLog event = EventLog.event(LogEvent.REQUEST_REPEATED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.TARGET, target.id())
                .with(EventField.REASON, reason)
                .with(EventField.RETRY_ALLOWANCE, Math.round(allowance * 10) / 10.0)
                .with(EventField.RETRIES, budget.retries())
                .with(EventField.REQUESTS, budget.requests())
                .with(EventField.PEERS, peers);
        addStreamVersion(event, exchange);
        addResponseEnding(event, exchange);
        event.call();
    }

    /** Logs at which version a stream began that a caller resumes, and who knew it. */
    static void originFound(
            CallerExchange exchange, StreamOrigin origin, OriginSource source, StreamTracker.Finding finding) {
        EventLog event = EventLog.event(LogEvent.STREAM_ORIGIN)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, origin.service())
                .with(EventField.STREAM_VERSION, origin.version());
        exchange.head().resumedAttemptId().ifPresent(id -> event.with(EventField.RESUMES, id));
        event.with(EventField.SOURCE, source.tag());
        if (source == OriginSource.ONLY_VERSION) {
            event.with(EventField.AGE_MILLIS, exchange.observedMillis());
        } else {
            event.with(EventField.AGE_MILLIS, exchange.nowMillis() - origin.recordedAtMillis());
        }
        if (!finding.source().isEmpty()) {
            event.with(EventField.PEER, finding.source());
        }
        event.call();
    }

    /**
     * Logs that a stream is not resumed.
     *
     * @param silentProcesses number of processes that were asked where it began and have not answered
     */
    static void notResumed(CallerExchange exchange, ResumptionOutcome outcome, int silentProcesses) {
        EventLog event = EventLog.event(LogEvent.STREAM_NOT_RESUMED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.REASON, outcome.tag())
                .with(EventField.PEERS, silentProcesses);
        exchange.head().resumedAttemptId().ifPresent(id -> event.with(EventField.RESUMES, id));
        addStreamVersion(event, exchange);
        event.call();
    }

    /**
     * Logs that a target has sent nothing for too long.
     *
     * @param decision whether the request is sent to another target
     * @param silentTargets targets of the service that owe this process a response and are silent
     */
    static void runSilent(
            CallerExchange exchange,
            TargetRun run,
            long silentMillis,
            RetryDecision decision,
            int silentTargets,
            TargetRegistry.Reach reach) {
        EventLog event = runLine(LogEvent.RUN_SILENT, exchange, run, silentMillis)
                .with(EventField.DECISION, decision.tag())
                .with(EventField.SILENT_TARGETS, silentTargets);
        addReach(event, reach);
        event.call();
    }

    /** Logs that a silent target has sent bytes again. */
    static void runResumed(CallerExchange exchange, TargetRun run, long silentMillis) {
        runLine(LogEvent.RUN_RESUMED, exchange, run, silentMillis).call();
    }

    private static EventLog runLine(LogEvent type, CallerExchange exchange, TargetRun run, long silentMillis) {
        EventLog event = EventLog.event(type)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TARGET, run.target().id())
                .with(EventField.SILENT_MILLIS, silentMillis);
        if (run.relayed()) {
            event.with(EventField.PEER, run.peerName());
        }
        return event;
    }

    /**
     * Logs that a target has sent a response that is not known to answer the request of its connection.
     *
     * @param attemptId attempt of that request; empty for a health check, or if none was sent
     * @param status status of the response; 0 if it was not read
     * @param namedAttemptId attempt that the response names; empty if it names none
     * @param carriedRequests requests that the connection has carried
     */
    static void responseUnmatched(
            Target target,
            UnmatchedResponse reason,
            String attemptId,
            int status,
            String namedAttemptId,
            int carriedRequests) {
        EventLog.event(LogEvent.RESPONSE_UNMATCHED)
                .with(EventField.REQUEST, attemptId)
                .with(EventField.TARGET, target.id())
                .with(EventField.KIND, reason.tag())
                .with(EventField.STATUS, status)
                .with(EventField.NAMED_ATTEMPT, namedAttemptId)
                .with(EventField.CARRIED, carriedRequests)
                .call();
    }

    /**
     * Logs what became of a target whose response only the end of its connection had ended.
     *
     * @param otherConnections connections to the target that were open at the end
     * @param tookMillis time from the end to this result in milliseconds
     */
    static void responseEndChecked(
            Target target, String attemptId, TargetLiveness liveness, int otherConnections, long tookMillis) {
        EventLog.event(LogEvent.RESPONSE_END_CHECKED)
                .with(EventField.REQUEST, attemptId)
                .with(EventField.TARGET, target.id())
                .with(EventField.VERDICT, liveness.tag())
                .with(EventField.OTHER_CONNECTIONS, otherConnections)
                .with(EventField.AGE_MILLIS, tookMillis)
                .call();
    }

    /**
     * Logs what becomes of the end of a stream that declared none.
     *
     * @param reason what speaks for the decision
     * @param brokeOffMillis time since the target last broke off a response, in milliseconds; empty if it never did
     */
    static void streamEndJudged(
            CallerExchange exchange,
            Target target,
            EndDecision decision,
            String reason,
            OptionalLong brokeOffMillis,
            RetryBudget budget,
            double allowance) {
        EventLog event = EventLog.event(LogEvent.STREAM_END_JUDGED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TARGET, target.id())
                .with(EventField.DECISION, decision.tag())
                .with(EventField.REASON, reason)
                .with(EventField.RETRY_ALLOWANCE, Math.round(allowance * 10) / 10.0)
                .with(EventField.RETRIES, budget.retries())
                .with(EventField.REQUESTS, budget.requests());
        brokeOffMillis.ifPresent(millis -> event.with(EventField.AGE_MILLIS, millis));
        event.call();
    }

    /**
     * Logs what asking another target has shown of the end of a stream.
     *
     * @param ended target whose stream has ended
     * @param heldMillis time for which the end was held, in milliseconds
     */
    static void streamEndVerified(CallerExchange exchange, Target ended, EndVerdict verdict, long heldMillis) {
        EventLog.event(LogEvent.STREAM_END_VERIFIED)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TARGET, ended.id())
                .with(EventField.VERDICT, verdict.tag())
                .with(EventField.AGE_MILLIS, heldMillis)
                .call();
    }

    static void runLost(CallerExchange exchange, TargetRun run, TargetFailure failure, FailureReview.Verdict verdict) {
        EventLog event = EventLog.event(LogEvent.RUN_LOST)
                .with(EventField.REQUEST, exchange.head().attemptId())
                .with(EventField.FINGERPRINT, exchange.fingerprint().toString())
                .with(EventField.SHARED_PARTS, joined(exchange.sharedParts()))
                .with(EventField.SERVICE, exchange.service())
                .with(EventField.TARGET, run.entry().state().target().id())
                .with(EventField.REASON, failure.name())
                .with(EventField.VERDICT, verdict.name());
        if (run.relayed()) {
            event.with(EventField.PEER, run.peerName());
        }
        event.call();
    }

    private static String joined(Collection<Fingerprint> fingerprints) {
        return fingerprints.stream().map(Fingerprint::toString).collect(Collectors.joining(","));
    }

    /**
     * Logs what is known of a run that may have crashed its target.
     *
     * @param source who found it out; empty if it was this process
     */
    static void crashSuspected(LostRun run, Assessment assessment, long nowMillis, String source) {
        EventLog event = EventLog.event(LogEvent.CRASH_SUSPECTED)
                .with(EventField.FINGERPRINT, run.fingerprint().toString())
                .with(EventField.TARGET, run.targetId())
                .with(EventField.STATUS, run.evidence().name())
                .with(EventField.AGE_MILLIS, nowMillis - run.endedAtMillis())
                .with(EventField.VERDICT, assessment.status().name())
                .with(EventField.SUBJECT, assessment.subject().toString())
                .with(EventField.CRASHES, assessment.crashes());
        if (!source.isEmpty()) {
            event.with(EventField.SOURCE, source);
        }
        event.call();
    }

    /** Logs that a target has served a request with a part that was suspected of crashing targets. */
    static void partCleared(Fingerprint part, Assessment before) {
        EventLog.event(LogEvent.PART_CLEARED)
                .with(EventField.FINGERPRINT, part.toString())
                .with(EventField.VERDICT, before.status().name())
                .with(EventField.CRASHES, before.crashes())
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
                .with(EventField.TARGET_VERSION, target.version())
                .with(EventField.STATUS, status)
                .call();
    }

    /**
     * Logs that a target was ejected.
     *
     * @param reporter name of the process that reported the failure; empty if it was this process
     * @param reach targets that this process itself reaches
     */
    static void ejected(TargetEntry entry, String reason, String reporter, long nowMillis, TargetRegistry.Reach reach) {
        Target target = entry.state().target();
        EventLog event = EventLog.event(LogEvent.TARGET_EJECTED)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.REASON, reason);
        if (!reporter.isEmpty()) {
            event.with(EventField.PEER, reporter);
        }
        entry.answerAgeMillis(nowMillis).ifPresent(millis -> event.with(EventField.AGE_MILLIS, millis));
        addReach(event, reach);
        event.call();
    }

    /**
     * Logs that a target states another rate than before.
     *
     * @param peer name of the peer that has reported it; empty if the target said so itself
     */
    static void statedRateChanged(
            String service, String targetId, OptionalDouble before, OptionalDouble now, String peer, long ageMillis) {
        EventLog event = EventLog.event(LogEvent.TARGET_RATE_CHANGED)
                .with(EventField.SERVICE, service)
                .with(EventField.TARGET, targetId)
                .with(EventField.PEER, peer)
                .with(EventField.AGE_MILLIS, ageMillis);
        before.ifPresent(rate -> event.with(EventField.FROM, rate));
        now.ifPresent(rate -> event.with(EventField.TO, rate));
        event.call();
    }

    static void rejectionLimitChanged(String service, OptionalInt limitPerSecond) {
        EventLog event = EventLog.event(LogEvent.REJECTION_LIMIT).with(EventField.SERVICE, service);
        limitPerSecond.ifPresent(limit -> event.with(EventField.LIMIT, limit));
        event.call();
    }

    static void pathLost(String targetId, String peer, TargetRegistry.Reach reach) {
        EventLog event = EventLog.event(LogEvent.TARGET_PATH_LOST)
                .with(EventField.TARGET, targetId)
                .with(EventField.PEER, peer);
        addReach(event, reach);
        event.call();
    }

    static void pathRestored(String targetId) {
        EventLog.event(LogEvent.TARGET_PATH_RESTORED)
                .with(EventField.TARGET, targetId)
                .call();
    }

    static void partitionBegan(TargetRegistry.Reach reach) {
        EventLog event = EventLog.event(LogEvent.PARTITIONED);
        addReach(event, reach);
        event.call();
    }

    static void partitionEnded() {
        EventLog.event(LogEvent.PARTITION_ENDED).call();
    }

    static void failureDismissed(TargetRun run, TargetFailure failure) {
        EventLog event = EventLog.event(LogEvent.FAILURE_DISMISSED)
                .with(EventField.TARGET, run.entry().state().target().id())
                .with(EventField.REASON, failure.name());
        if (run.relayed()) {
            event.with(EventField.PEER, run.peerName());
        }
        event.call();
    }

    static void relayAnswered(String peer, String targetId, RelayOutcome outcome, long tookMillis) {
        EventLog.event(LogEvent.RELAY_ANSWERED)
                .with(EventField.PEER, peer)
                .with(EventField.TARGET, targetId)
                .with(EventField.STATUS, outcome.name())
                .with(EventField.TOTAL_MILLIS, tookMillis)
                .call();
    }

    /** Logs that the end of this process cuts a connection that it relays for a peer. */
    static void relayCut(String peer, String targetId, long ageMillis, long receivedBytes, int otherConnections) {
        EventLog.event(LogEvent.RELAY_CUT)
                .with(EventField.PEER, peer)
                .with(EventField.TARGET, targetId)
                .with(EventField.AGE_MILLIS, ageMillis)
                .with(EventField.RECEIVED_BYTES, receivedBytes)
                .with(EventField.OTHER_CONNECTIONS, otherConnections)
                .call();
    }

    static void unreachable(Target target, long tookMillis, TargetRegistry.Reach reach) {
        EventLog event = EventLog.event(LogEvent.TARGET_UNREACHABLE)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.TOTAL_MILLIS, tookMillis);
        addReach(event, reach);
        event.call();
    }

    private static void addReach(EventLog event, TargetRegistry.Reach reach) {
        event.with(EventField.REACHED_TARGETS, reach.reachedTargets())
                .with(EventField.KNOWN_TARGETS, reach.knownTargets());
    }

    static void returned(Target target, long coldMillis) {
        EventLog.event(LogEvent.TARGET_RETURNED)
                .with(EventField.TARGET, target.id())
                .with(EventField.SERVICE, target.service())
                .with(EventField.LIMIT, coldMillis)
                .call();
    }
}
