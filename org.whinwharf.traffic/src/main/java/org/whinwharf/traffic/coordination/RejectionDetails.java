package org.whinwharf.traffic.coordination;

/**
 * Why a coordinator refused a request, for whoever has to explain it later.
 *
 * @param retryAfterMillis time after which its caller should come back
 * @param queuedAhead requests that went before it in the line
 * @param estimatedWaitMillis predicted wait behind them
 * @param backlogAgeMillis time for which the line of its rank had not emptied
 * @param quotaLevelTokens what was left of the organisation's quota, below 0 a debt; 0 when the quota did not decide
 */
public record RejectionDetails(
        long retryAfterMillis,
        int queuedAhead,
        long estimatedWaitMillis,
        long backlogAgeMillis,
        long quotaLevelTokens) {}
