package org.whinwharf.traffic.rate;

/** Tokens for requests, which come at a steady rate and are hardly saved up. */
final class TokenBucket {
    /** Time for which unused tokens are kept: a few intervals at which queued requests are tried. */
    private static final double CREDIT_SECONDS = 0.1;
    /** Time for which requests that others have sent without a token may hold back later ones. */
    private static final double MAX_DEBT_SECONDS = 4;

    private double level;
    private long filledAtMillis;

    TokenBucket(long nowMillis) {
        clear(nowMillis);
    }

    /** Takes all tokens and debts away. */
    void clear(long nowMillis) {
        level = 0;
        filledAtMillis = nowMillis;
    }

    /** Adds the tokens of the time since the last call. */
    void fill(double tokensPerSecond, long nowMillis) {
        double elapsedSeconds = Math.max(0, nowMillis - filledAtMillis) / 1_000.0;
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
        level = Math.min(1 + tokensPerSecond * CREDIT_SECONDS, level + elapsedSeconds * tokensPerSecond);
    }

    boolean hasToken() {
        return level >= 1;
    }

    /** Takes tokens, also those that are still to come. */
    void take(double tokens, double tokensPerSecond) {
        level = limitDebt(level - tokens, tokensPerSecond);
    }

    /** Takes all tokens away, and the debts that would hold back requests for too long at another rate. */
    void rateChanged(double tokensPerSecond) {
        level = limitDebt(Math.min(0, level), tokensPerSecond);
    }

    /** Limits debts so that the next token comes within their maximum time, or that of one token if it is longer. */
    private static double limitDebt(double wanted, double tokensPerSecond) {
        return Math.max(Math.min(0, 1 - MAX_DEBT_SECONDS * tokensPerSecond), wanted);
    }
}
