package org.whinwharf.traffic.coordination;

/**
 * The state of queue and quota that a coordinator based a rejection on, for logs and explanations.
 *
 * @param retryAfterMillis delay after which the caller should retry
 * @param queuedAhead number of queued requests that would have been served before it
 * @param estimatedWaitMillis estimated wait behind these requests
 * @param backlogAgeMillis time for which the queue of the request's rank had not emptied
 * @param quotaLevelTokens remaining quota of the organisation, negative if overdrawn; 0 if the quota was not the reason
 */
public record RejectionDetails(
        long retryAfterMillis,
        int queuedAhead,
        long estimatedWaitMillis,
        long backlogAgeMillis,
        long quotaLevelTokens) {}
