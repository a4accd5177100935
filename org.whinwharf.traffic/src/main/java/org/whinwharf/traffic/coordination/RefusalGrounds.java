package org.whinwharf.traffic.coordination;

/**
 * Why a coordinator refused a request, for whoever has to explain it later.
 *
 * @param comeBackMillis time after which its caller should come back
 * @param ahead requests that went before it in the line
 * @param predictedMillis predicted wait behind them
 * @param standingMillis time for which the line of its rank had not emptied
 * @param quotaLevelTokens what was left of the organisation's quota, below 0 a debt; 0 when the quota did not decide
 */
public record RefusalGrounds(
        long comeBackMillis, int ahead, long predictedMillis, long standingMillis, long quotaLevelTokens) {}
