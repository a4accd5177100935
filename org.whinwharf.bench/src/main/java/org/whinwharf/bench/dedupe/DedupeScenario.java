package org.whinwharf.bench.dedupe;

/**
 * One home's requests.
 *
 * @param hosts hosts of the fleet
 * @param restartsPerDay restarts of the whole fleet in a day; one restarts a home with an empty memory
 * @param requestsPerSecond requests of one home
 * @param requestsPerTicket mean requests under one ticket
 * @param ticketSeconds how long a ticket is good
 * @param lostShare share of numbers that never come
 * @param repeatShare share of requests that come once more, within half of the ticket's time
 * @param delayMillis mean time that a request is on its way
 * @param burstFactor by how much more requests come in one minute of each hour
 */
record DedupeScenario(
        int hosts,
        double restartsPerDay,
        double requestsPerSecond,
        double requestsPerTicket,
        double ticketSeconds,
        double lostShare,
        double repeatShare,
        double delayMillis,
        double burstFactor) {
    private static final double DAY_SECONDS = 86_400;
    private static final double HOUR_SECONDS = 3600;
    private static final double BURST_SECONDS = 60;

    int callers() {
        return (int) Math.max(1, Math.round(requestsPerSecond * ticketSeconds / requestsPerTicket));
    }

    int requestsPerTicketTime() {
        return (int) Math.ceil(requestsPerSecond * ticketSeconds);
    }

    double restartsPerSecond() {
        return restartsPerDay / hosts / DAY_SECONDS;
    }

    double rateAt(double atSeconds) {
        boolean burst = atSeconds % HOUR_SECONDS < BURST_SECONDS;
        return requestsPerSecond * (burst ? burstFactor : 1);
    }
}
